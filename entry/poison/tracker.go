// Package poison detects requests that bring instances down and refuses them.
//
// Each request has a fingerprint. When an instance is lost, the fingerprints in
// flight there become suspects. A response of an instance to a suspect excuses the
// losses known until then. A suspect that was in flight at the losses of two instances
// is refused for a set time. Suspects run one at a time, so that a harmless request
// is not in flight on its second instance together with the poison request. If each loss of a
// request has another suspect, one more is needed.
// Correlated losses, such as those of a whole rack, count as one. Losses are correlated if
// several of them in a short time have another explanation than the request: it was not in
// flight there, or another request was that has had no response since.
//
// Whether an instance has ended is often known only after the attempt that ended it: its
// connections close one by one, its host may be cut off, and it may be back before anyone looks. So
// an attempt without a response is kept until somebody knows of the end (evidence.Pending).
//
// What is refused follows from the losses alone, which hosts share (package evidence). Hosts
// that know the same losses refuse the same requests, in whatever order they were told.
//
// Usage:
//
//	tracker := poison.NewTracker(poison.WithBroadcast(node.BroadcastSuspects))
//	if until, refused := tracker.Refused(fp, now); refused { ... }
//	attempt := tracker.Begin(ctx, fp, incarnation)
//	defer attempt.End()
//	attempt.Answered() // or Dismiss, Interrupted, InstanceLost
//	tracker.InstanceEnded(incarnation) // whenever that becomes known
package poison

import (
	"context"
	"encoding/binary"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/world/evidence"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Defaults and limits of a tracker.
const (
	DefaultLossLimit     = 2 // lost instances after which a request is refused
	DefaultRefusalPeriod = 10 * time.Minute
	DefaultSuspectTTL    = 10 * time.Minute // of a loss; at least the refusal period
	correlatedLosses     = 3                // number of unexplained losses within correlationWindow from which a loss counts as one with others
	correlationWindow    = time.Second      // also the longest time of losses that count as one
	exclusiveWait        = 2 * time.Second  // maximum wait of a suspect for another one to end
	maxReported          = 64               // suspects in one message, at most half of them observed by this host lately
	recentChange         = 10 * time.Second
)

var (
	refusalsTotal = metrics.GetOrCreateCounter("snipebeam_poison_refusals_total")
	lossesTotal   = metrics.GetOrCreateCounter("snipebeam_instances_lost_total")

	excusesTotal    = metrics.GetOrCreateCounter("snipebeam_poison_excuses_total")
	liftedTotal     = metrics.GetOrCreateCounter("snipebeam_poison_refusals_lifted_total")
	refusedSuspects atomic.Int64
	_               = metrics.GetOrCreateGauge("snipebeam_poison_refused", func() float64 { return float64(refusedSuspects.Load()) })
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

// String returns the fingerprint as it is logged.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Broadcast sends suspects to the other entry hosts. It blocks until they are
// delivered or the context is done.
type Broadcast func(ctx context.Context, suspects []*wire.Suspect)

// Tracker tracks the attempts and the suspects of one entry host.
type Tracker struct {
	lossLimit     int
	refusalPeriod time.Duration
	broadcast     Broadcast
	logger        hclog.Logger
	exclusive     chan struct{} // slot of the one suspect that may run

	answers    *answers
	hasPending atomic.Bool

	mu          sync.Mutex
	pending     *evidence.Pending // attempts whose instances may have ended
	book        *evidence.Book
	refused     map[Fingerprint]time.Time // until then
	changed     map[Fingerprint]time.Time // last change that this host observed
	untold      []*wire.Suspect           // to be broadcast while no caller waits
	telling     bool
	hasSuspects atomic.Bool
}

// Option configures a tracker.
type Option func(*Tracker)

// WithLossLimit sets the number of lost instances after which a request is refused.
func WithLossLimit(n int) Option { return func(t *Tracker) { t.lossLimit = n } }

// WithRefusalPeriod sets the time for which a request is refused after the last loss.
func WithRefusalPeriod(d time.Duration) Option { return func(t *Tracker) { t.refusalPeriod = d } }

// WithBroadcast sets the function that sends suspects to the other entry hosts.
func WithBroadcast(broadcast Broadcast) Option { return func(t *Tracker) { t.broadcast = broadcast } }

// WithLogger sets the logger of losses and refusals.
func WithLogger(logger hclog.Logger) Option { return func(t *Tracker) { t.logger = logger } }

// NewTracker returns an empty tracker.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{
		lossLimit: DefaultLossLimit, refusalPeriod: DefaultRefusalPeriod, exclusive: make(chan struct{}, 1),
		broadcast: func(context.Context, []*wire.Suspect) {}, logger: hclog.NewNullLogger(),
		answers: newAnswers(), pending: evidence.NewPending(), book: evidence.NewBook(),
		refused: map[Fingerprint]time.Time{}, changed: map[Fingerprint]time.Time{},
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
	until, refused := t.refused[fp]
	if !refused || !now.Before(until) {
		return time.Time{}, false
	}
	refusalsTotal.Inc()
	return until, true
}

// Suspect reports whether a request was in flight at the loss of an instance and has had no
// response since.
func (t *Tracker) Suspect(fp Fingerprint) bool {
	if !t.hasSuspects.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open(uint64(fp), time.Now())) > 0
}

// open returns the losses that count against a request.
func (t *Tracker) open(fp uint64, now time.Time) []evidence.Loss {
	r := t.book.Record(fp)
	if r == nil {
		return nil
	}
	lifetime := max(DefaultSuspectTTL, t.refusalPeriod)
	return slices.DeleteFunc(r.Open(), func(l evidence.Loss) bool { return now.Sub(l.At()) > lifetime })
}

// Suspects returns what this host tells others: what it observed lately, and the most
// important of what it was told.
func (t *Tracker) Suspects() []*wire.Suspect { return t.suspectsAt(time.Now()) }

func (t *Tracker) suspectsAt(now time.Time) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fps []Fingerprint
	for fp, at := range t.changed {
		if now.Sub(at) > recentChange {
			delete(t.changed, fp)
			continue
		}
		fps = append(fps, fp)
	}
	slices.SortFunc(fps, func(a, b Fingerprint) int { return t.changed[b].Compare(t.changed[a]) })
	fps = fps[:min(len(fps), maxReported/2)]
	own := map[Fingerprint]bool{}
	for _, fp := range fps {
		own[fp] = true
	}
	for _, fp := range t.book.Suspected(1) {
		if len(fps) == maxReported {
			break
		}
		if !own[Fingerprint(fp)] {
			fps = append(fps, Fingerprint(fp))
		}
	}
	messages := t.messages(fps, now)
	observed := t.pending.Observed(recentChange, now)
	for _, a := range observed[:min(len(observed), maxReported/2)] {
		messages = append(messages, a.Message(now))
	}
	return messages
}

func (t *Tracker) messages(fps []Fingerprint, now time.Time) []*wire.Suspect {
	all := make([]*wire.Suspect, 0, len(fps))
	for _, fp := range fps {
		r := t.book.Record(uint64(fp))
		if r == nil {
			continue
		}
		m := r.Message(uint64(fp), now)
		if until, refused := t.refused[fp]; refused {
			m.RefusedUntil = until.UnixNano()
		}
		all = append(all, m)
	}
	return all
}

// Merge merges suspects received from another entry host.
func (t *Tracker) Merge(msgs []*wire.Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range msgs {
		t.book.Merge(m, now)
		t.excuseAnswered(Fingerprint(m.GetFingerprint()), now)
		for _, a := range evidence.Attempts(m, now) {
			if t.pending.Add(a, now) {
				t.lose([]*evidence.Attempt{a}, now)
			}
		}
	}
	t.hasPending.Store(t.pending.Len() > 0)
	t.judge(now)
}

// excuseAnswered excuses losses that were told of only after an instance had responded to the
// request at this host.
func (t *Tracker) excuseAnswered(fp Fingerprint, now time.Time) {
	open := t.open(uint64(fp), now)
	if _, refused := t.refused[fp]; refused || len(open) == 0 || !t.answers.since(fp, open[len(open)-1].At()) {
		return
	}
	t.book.Excuse(uint64(fp))
	excusesTotal.Inc()
	t.changed[fp] = now
}

// judge decides from the known losses which requests are refused.
func (t *Tracker) judge(now time.Time) {
	t.book.Expire(now)
	refused := map[Fingerprint]time.Time{}
	var timeline *evidence.Timeline
	for _, id := range t.book.Suspected(t.lossLimit) {
		if timeline == nil {
			timeline = t.book.Timeline()
		}
		open := t.open(id, now)
		if len(open) < t.lossLimit {
			continue
		}
		r := t.book.Record(id)
		if len(open) == t.lossLimit && !timeline.Alone(r) {
			continue // another request may have ended each of them
		}
		if events(open, timeline.Unexplained(r)) >= t.lossLimit {
			refused[Fingerprint(id)] = open[len(open)-1].At().Add(t.refusalPeriod)
		}
	}
	t.logVerdicts(refused, now)
	t.refused = refused
	refusedSuspects.Store(int64(len(refused)))
	t.hasSuspects.Store(t.book.Len() > 0)
}

func (t *Tracker) logVerdicts(refused map[Fingerprint]time.Time, now time.Time) {
	for fp, until := range refused {
		if _, before := t.refused[fp]; before {
			continue
		}
		var instances []string
		for _, l := range t.open(uint64(fp), now) {
			instances = append(instances, l.Instance())
		}
		t.logger.Warn("request is refused, as instances were lost under it", "fingerprint", fp.String(), "instances", instances, "until", until.UTC().Format(time.RFC3339))
	}
	for fp := range t.refused {
		if _, still := refused[fp]; still {
			continue
		}
		liftedTotal.Inc()
		t.logger.Info("request is no longer refused", "fingerprint", fp.String(), "known", t.book.Record(uint64(fp)) != nil)
	}
}

// events returns how many losses of a request count, given the times of those that it does
// not explain. Correlated losses within correlationWindow count as one.
func events(open []evidence.Loss, unexplained []time.Time) int {
	n := 0
	var began time.Time
	for _, l := range open {
		if n > 0 && l.At().Sub(began) <= correlationWindow && correlated(unexplained, l.At()) {
			continue
		}
		n++
		began = l.At()
	}
	return n
}

// correlated reports whether correlatedLosses lie around a time, within correlationWindow.
func correlated(losses []time.Time, at time.Time) bool {
	first, _ := slices.BinarySearchFunc(losses, at.Add(-correlationWindow), time.Time.Compare)
	for n := first; n+correlatedLosses <= len(losses); n++ {
		begin, end := losses[n], losses[n+correlatedLosses-1]
		if begin.After(at.Add(correlationWindow)) {
			break
		}
		if begin.After(at) {
			begin = at
		}
		if end.Before(at) {
			end = at
		}
		if end.Sub(begin) <= correlationWindow {
			return true
		}
	}
	return false
}
