// Package probe asks instances for their load when nothing fresh is known of
// them, under a ceiling that holds for all entry hosts together.
//
// Every entry host that may exist has an equal part of an instance's budget,
// and uses it only after it has run for a whole window. So the sum stays under
// the budget whichever hosts are cut off, join, leave or restart, without a
// message between them, as long as no more hosts run than the settings say.
//
// Usage:
//
//	ledger := probe.NewLedger(probe.Share(0.01, 3, 29, window), window, limit, startedAt)
//	if r := ledger.Reserve(now); r != nil { ask; r.Settle(took) }
package probe

import (
	"sync"
	"time"
)

// Limiter holds one host's part of one instance's budget over a sliding window.
type Limiter struct {
	share       time.Duration // slot time that this host may use in a window
	window      time.Duration
	maxDuration time.Duration // time that one probe may take
	startsAt    int64         // first probe, Unix nanoseconds

	mu           sync.Mutex
	reservations []*Reservation
	nextAt       int64 // first time of the next probe, so that probes are spread over the window
	reserved     time.Duration
	used         time.Duration // since the start
}

// Reservation is the slot time set aside for one probe.
type Reservation struct {
	limiter *Limiter
	cost    time.Duration
	endsAt  int64
}

// LimiterConfig says what all hosts together may spend on one instance.
type LimiterConfig struct {
	Budget      float64       // share of the slot time
	Slots       int           // of the instance
	Hosts       int           // entry hosts that may exist at one time
	Window      time.Duration // over which the budget holds
	MaxDuration time.Duration // time that one probe may take
}

// NewLimiter returns the part of one host that started at a time. The window
// grows until one probe fits into the host's part.
func NewLimiter(p LimiterConfig, startedAt int64) *Limiter {
	window := p.Window
	perNanosecond := p.Budget * float64(p.Slots) / float64(max(p.Hosts, 1))
	if perNanosecond > 0 {
		window = max(window, time.Duration(float64(p.MaxDuration)/perNanosecond)+1)
	}
	return &Limiter{
		share: time.Duration(perNanosecond * float64(window)), window: window,
		maxDuration: p.MaxDuration, startsAt: startedAt + int64(window),
	}
}

// Window returns the window over which the budget holds.
func (l *Limiter) Window() time.Duration { return l.window }

// Reserve sets aside the time that a probe may take, or returns nil. The probe
// ends within that time.
func (l *Limiter) Reserve(now int64) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if now < max(l.startsAt, l.nextAt) || l.maxDuration == 0 || l.reserved+l.maxDuration > l.share {
		return nil
	}
	r := &Reservation{limiter: l, cost: l.maxDuration, endsAt: now + int64(l.maxDuration)}
	l.reserved += r.cost
	l.used += r.cost
	l.nextAt = now + l.spacing(r.cost)
	l.reservations = append(l.reservations, r)
	return r
}

// Settle gives back what a probe did not take.
func (r *Reservation) Settle(took time.Duration) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	unused := max(r.cost-max(took, 0), 0)
	r.cost -= unused
	r.limiter.reserved -= unused
	r.limiter.used -= unused
	r.limiter.nextAt -= r.limiter.spacing(unused)
}

// spacing is the time in which a cost is earned.
func (l *Limiter) spacing(cost time.Duration) int64 {
	return int64(float64(cost) / float64(l.share) * float64(l.window))
}

// expire drops the probes that ended more than a window ago.
func (l *Limiter) expire(now int64) {
	n := 0
	for n < len(l.reservations) && l.reservations[n].endsAt+int64(l.window) <= now {
		l.reserved -= l.reservations[n].cost
		n++
	}
	l.reservations = append(l.reservations[:0], l.reservations[n:]...)
}

// Used returns the slot time spent since the start.
func (l *Limiter) Used() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// lastEndsAt returns when the last probe ends at the latest.
func (l *Limiter) lastEndsAt() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.reservations) == 0 {
		return l.startsAt - int64(l.window)
	}
	return l.reservations[len(l.reservations)-1].endsAt
}
