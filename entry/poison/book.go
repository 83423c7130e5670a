// Package poison notes which requests were in flight when an instance was
// lost, and refuses a request that has cost too many instances.
//
// Every request has a fingerprint. When an instance is lost, the fingerprints
// that were in flight there become suspects. A suspect that is answered
// elsewhere is cleared. One that is lost with a second instance is refused for
// a set time. Suspects run one at a time, so that an innocent request does not
// share its second instance with the poison. When many instances are lost at
// once, as with a rack, that counts for none of them.
//
// Usage:
//
//	book := poison.NewBook(poison.WithShare(sender.Suspects))
//	if until, refused := book.Refused(fp, now); refused { ... }
//	flight := book.Enter(ctx, fp, instanceID)
//	defer flight.Leave()
//	flight.Answered() // or flight.Lost(ctx)
package poison

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Defaults of a book.
const (
	DefaultLossLimit     = 2 // instances lost with a request before it is refused
	DefaultRefusalPeriod = 10 * time.Minute
	DefaultSuspectTTL    = 10 * time.Minute // that a suspect is remembered
	rackLosses           = 3                // instances lost within rackWindow count for nobody
	rackWindow           = time.Second
	trialWait            = 2 * time.Second
	maxSuspects          = 10_000
)

var (
	refusals = metrics.GetOrCreateCounter("snipebeam_poison_refusals_total")
	lossesN  = metrics.GetOrCreateCounter("snipebeam_instances_lost_total")
)

// Fingerprint tells requests apart that may cost instances.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a body and of what else tells a request apart.
func NewFingerprint(length int64, body []byte, parts ...string) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Broadcast sends suspects to the other entry hosts and waits, within the context.
type Broadcast func(ctx context.Context, suspects []*wire.Suspect)

// Tracker holds the flights and the suspects of one entry host.
type Tracker struct {
	losses  int
	refusal time.Duration
	share   Broadcast
	trial   chan struct{} // held by the one suspect that runs

	mu       sync.Mutex
	flights  map[string]map[*Attempt]struct{} // by instance
	suspects map[Fingerprint]*suspect
	lost     []loss // within the last rackWindow
	any      atomic.Bool
}

// suspect is a fingerprint that was in flight when instances were lost.
type suspect struct {
	instances    []string
	notedAt      time.Time
	refusedUntil time.Time
}

type loss struct {
	instance string
	at       time.Time
}

// Option changes one property of a book.
type Option func(*Tracker)

// WithLossLimit sets how many instances may be lost with a request.
func WithLossLimit(n int) Option { return func(b *Tracker) { b.losses = n } }

// WithRefusalPeriod sets how long a request is refused.
func WithRefusalPeriod(d time.Duration) Option { return func(b *Tracker) { b.refusal = d } }

// WithBroadcast sets how the other entry hosts learn of suspects.
func WithBroadcast(share Broadcast) Option { return func(b *Tracker) { b.share = share } }

// NewTracker returns an empty book.
func NewTracker(opts ...Option) *Tracker {
	b := &Tracker{
		losses: DefaultLossLimit, refusal: DefaultRefusalPeriod, trial: make(chan struct{}, 1),
		share:   func(context.Context, []*wire.Suspect) {},
		flights: map[string]map[*Attempt]struct{}{}, suspects: map[Fingerprint]*suspect{},
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetBroadcast sets how the other entry hosts learn of suspects; it is called
// before the first request.
func (b *Tracker) SetBroadcast(share Broadcast) { b.share = share }

// Refused reports whether a request is refused, and until when.
func (b *Tracker) Refused(fp Fingerprint, now time.Time) (time.Time, bool) {
	if !b.any.Load() {
		return time.Time{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[fp]
	if s == nil || !now.Before(s.refusedUntil) {
		return time.Time{}, false
	}
	refusals.Inc()
	return s.refusedUntil, true
}

// Suspects returns the suspects as other hosts are told of them.
func (b *Tracker) Suspects() []*wire.Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*wire.Suspect, 0, len(b.suspects))
	for fp, s := range b.suspects {
		all = append(all, s.message(fp))
	}
	return all
}

func (s *suspect) message(fp Fingerprint) *wire.Suspect {
	m := &wire.Suspect{Fingerprint: uint64(fp), Instances: slices.Clone(s.instances)}
	if !s.refusedUntil.IsZero() {
		m.RefusedUntil = s.refusedUntil.UnixNano()
	}
	return m
}

// Merge takes suspects that another entry host noted.
func (b *Tracker) Merge(messages []*wire.Suspect, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range messages {
		for _, instance := range m.GetInstances() {
			b.note(Fingerprint(m.GetFingerprint()), instance, now)
			b.noteLoss(instance, now)
		}
		if until := time.Unix(0, m.GetRefusedUntil()); m.GetRefusedUntil() > 0 {
			b.refuse(Fingerprint(m.GetFingerprint()), until, now)
		}
	}
	b.pardon(now)
}

// refuse takes over a refusal, which no host may make longer than its own.
func (b *Tracker) refuse(fp Fingerprint, until, now time.Time) {
	s := b.suspects[fp]
	if s == nil {
		return
	}
	until = earlier(until, now.Add(b.refusal))
	if until.After(s.refusedUntil) {
		s.refusedUntil = until
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// note records that an instance was lost with a request in flight.
func (b *Tracker) note(fp Fingerprint, instance string, now time.Time) {
	b.forget(now)
	s := b.suspects[fp]
	if s == nil {
		if len(b.suspects) >= maxSuspects {
			return
		}
		s = &suspect{}
		b.suspects[fp] = s
		b.any.Store(true)
	}
	s.notedAt = now
	if !slices.Contains(s.instances, instance) {
		s.instances = append(s.instances, instance)
	}
	if len(s.instances) >= b.losses && s.refusedUntil.IsZero() {
		s.refusedUntil = now.Add(b.refusal)
	}
}

// noteLoss remembers the loss of an instance for as long as it may turn out to
// be one of many.
func (b *Tracker) noteLoss(instance string, now time.Time) {
	b.lost = slices.DeleteFunc(b.lost, func(l loss) bool { return now.Sub(l.at) > rackWindow || l.instance == instance })
	b.lost = append(b.lost, loss{instance: instance, at: now})
}

// pardon takes back what losses of many instances at once seemed to prove. A
// fingerprint that was lost with several of them stays a suspect with one.
func (b *Tracker) pardon(now time.Time) {
	if len(b.lost) < rackLosses {
		return
	}
	atOnce := func(instance string) bool {
		return slices.ContainsFunc(b.lost, func(l loss) bool { return l.instance == instance && now.Sub(l.at) <= rackWindow })
	}
	for _, s := range b.suspects {
		remaining := slices.DeleteFunc(slices.Clone(s.instances), atOnce)
		if len(remaining) == len(s.instances) {
			continue
		}
		s.instances = append(remaining, s.instances[len(s.instances)-1])
		if len(s.instances) < b.losses {
			s.refusedUntil = time.Time{}
		}
	}
}

// forget drops suspects that were not noted again for long.
func (b *Tracker) forget(now time.Time) {
	for fp, s := range b.suspects {
		if now.Sub(s.notedAt) > DefaultSuspectTTL && !now.Before(s.refusedUntil) {
			delete(b.suspects, fp)
		}
	}
	b.any.Store(len(b.suspects) > 0)
}
