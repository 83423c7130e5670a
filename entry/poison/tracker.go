// Package poison detects requests that bring instances down and refuses them.
//
// Each request has a fingerprint. When an instance is lost, the fingerprints in
// flight there become suspects. A suspect that gets a response from another
// instance is cleared. One that is in flight at the loss of a second instance is
// refused for a set time. Suspects run one at a time, so that a harmless request
// is not in flight on its second instance together with the poison request.
// Correlated losses, such as those of a whole rack, do not count against any
// request.
//
// Usage:
//
//	tracker := poison.NewTracker(poison.WithBroadcast(node.BroadcastSuspects))
//	if until, refused := tracker.Refused(fp, now); refused { ... }
//	attempt := tracker.Begin(ctx, fp, instanceID)
//	defer attempt.End()
//	attempt.Answered() // or attempt.InstanceLost(ctx)
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

// Defaults and limits of a tracker.
const (
	DefaultLossLimit     = 2 // lost instances after which a request is refused
	DefaultRefusalPeriod = 10 * time.Minute
	DefaultSuspectTTL    = 10 * time.Minute // since the last loss
	correlatedLosses     = 3                // number of losses within correlationWindow from which they count against no request
	correlationWindow    = time.Second
	exclusiveWait        = 2 * time.Second // maximum wait of a suspect for another one to end
	maxSuspects          = 10_000
)

var (
	refusalsTotal = metrics.GetOrCreateCounter("snipebeam_poison_refusals_total")
	lossesTotal   = metrics.GetOrCreateCounter("snipebeam_instances_lost_total")
)

// Fingerprint is a hash that identifies a request.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request: a hash of its body length,
// its body and other identifying parts.
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

// Broadcast sends suspects to the other entry hosts. It blocks until they are
// delivered or the context is done.
type Broadcast func(ctx context.Context, suspects []*wire.Suspect)

// Tracker tracks the attempts and the suspects of one entry host.
type Tracker struct {
	lossLimit     int
	refusalPeriod time.Duration
	broadcast     Broadcast
	exclusive     chan struct{} // slot of the one suspect that may run

	mu           sync.Mutex
	attempts     map[string]map[*Attempt]struct{} // by instance
	suspects     map[Fingerprint]*suspect
	recentLosses []loss // within the last correlationWindow
	hasSuspects  atomic.Bool
}

// suspect records the instances that were lost while a fingerprint was in flight.
type suspect struct {
	instances    []string
	lastSeen     time.Time
	refusedUntil time.Time
}

type loss struct {
	instance string
	at       time.Time
}

// Option configures a tracker.
type Option func(*Tracker)

// WithLossLimit sets the number of lost instances after which a request is refused.
func WithLossLimit(n int) Option { return func(t *Tracker) { t.lossLimit = n } }

// WithRefusalPeriod sets the time for which a request is refused.
func WithRefusalPeriod(d time.Duration) Option { return func(t *Tracker) { t.refusalPeriod = d } }

// WithBroadcast sets the function that sends suspects to the other entry hosts.
func WithBroadcast(broadcast Broadcast) Option { return func(t *Tracker) { t.broadcast = broadcast } }

// NewTracker returns an empty tracker.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{
		lossLimit: DefaultLossLimit, refusalPeriod: DefaultRefusalPeriod, exclusive: make(chan struct{}, 1),
		broadcast: func(context.Context, []*wire.Suspect) {},
		attempts:  map[string]map[*Attempt]struct{}{}, suspects: map[Fingerprint]*suspect{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetBroadcast sets the function that sends suspects to the other entry hosts.
// It must be called before the first request.
func (t *Tracker) SetBroadcast(broadcast Broadcast) { t.broadcast = broadcast }

// Refused reports whether a request is refused, and until when.
func (t *Tracker) Refused(fp Fingerprint, now time.Time) (time.Time, bool) {
	if !t.hasSuspects.Load() {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fp]
	if s == nil || !now.Before(s.refusedUntil) {
		return time.Time{}, false
	}
	refusalsTotal.Inc()
	return s.refusedUntil, true
}

// Suspects returns all suspects in the form sent to other hosts.
func (t *Tracker) Suspects() []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*wire.Suspect, 0, len(t.suspects))
	for fp, s := range t.suspects {
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

// Merge merges suspects received from another entry host.
func (t *Tracker) Merge(msgs []*wire.Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range msgs {
		for _, instance := range m.GetInstances() {
			t.recordSuspect(Fingerprint(m.GetFingerprint()), instance, now)
			t.recordLoss(instance, now)
		}
		if until := time.Unix(0, m.GetRefusedUntil()); m.GetRefusedUntil() > 0 {
			t.mergeRefusal(Fingerprint(m.GetFingerprint()), until, now)
		}
	}
	t.discardCorrelated(now)
}

// mergeRefusal merges a refusal of another host. It is capped at the refusal
// period of this host, so that no host can prolong a refusal elsewhere.
func (t *Tracker) mergeRefusal(fp Fingerprint, until, now time.Time) {
	s := t.suspects[fp]
	if s == nil {
		return
	}
	until = earlier(until, now.Add(t.refusalPeriod))
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

// recordSuspect records that an instance was lost while a request was in flight
// there.
func (t *Tracker) recordSuspect(fp Fingerprint, instance string, now time.Time) {
	t.evictExpired(now)
	s := t.suspects[fp]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			return
		}
		s = &suspect{}
		t.suspects[fp] = s
		t.hasSuspects.Store(true)
	}
	s.lastSeen = now
	if !slices.Contains(s.instances, instance) {
		s.instances = append(s.instances, instance)
	}
	if len(s.instances) >= t.lossLimit && s.refusedUntil.IsZero() {
		s.refusedUntil = now.Add(t.refusalPeriod)
	}
}

// recordLoss records the loss of an instance for correlationWindow, in which it
// may prove to be correlated.
func (t *Tracker) recordLoss(instance string, now time.Time) {
	t.recentLosses = slices.DeleteFunc(t.recentLosses, func(l loss) bool { return now.Sub(l.at) > correlationWindow || l.instance == instance })
	t.recentLosses = append(t.recentLosses, loss{instance: instance, at: now})
}

// discardCorrelated discards the evidence of correlated losses. A fingerprint in
// flight at several of them remains a suspect with one lost instance.
func (t *Tracker) discardCorrelated(now time.Time) {
	if len(t.recentLosses) < correlatedLosses {
		return
	}
	correlated := func(instance string) bool {
		return slices.ContainsFunc(t.recentLosses, func(l loss) bool { return l.instance == instance && now.Sub(l.at) <= correlationWindow })
	}
	for _, s := range t.suspects {
		remaining := slices.DeleteFunc(slices.Clone(s.instances), correlated)
		if len(remaining) == len(s.instances) {
			continue
		}
		s.instances = append(remaining, s.instances[len(s.instances)-1])
		if len(s.instances) < t.lossLimit {
			s.refusedUntil = time.Time{}
		}
	}
}

// evictExpired drops suspects that have not been seen for DefaultSuspectTTL and
// are no longer refused.
func (t *Tracker) evictExpired(now time.Time) {
	for fp, s := range t.suspects {
		if now.Sub(s.lastSeen) > DefaultSuspectTTL && !now.Before(s.refusedUntil) {
			delete(t.suspects, fp)
		}
	}
	t.hasSuspects.Store(len(t.suspects) > 0)
}
