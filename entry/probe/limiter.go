// Package probe selects the instances to probe for their load because this host has
// no fresh report or response of them. The probes of all entry hosts together stay
// within a budget for each instance.
//
// Each possible entry host gets an equal share of an instance's budget, and uses it
// only after it has run for a full window. The sum therefore stays within the budget
// when hosts are partitioned, join, leave or restart, without coordination between
// them, as long as no more hosts run than the settings allow.
//
// Usage:
//
//	limiter := probe.NewLimiter(probe.LimiterConfig{Budget: 0.01, Slots: 3, Hosts: 29, ...}, startedAt)
//	if r := limiter.Reserve(now); r != nil {
//		// send the probe
//		r.Settle(elapsed)
//	}
package probe

import (
	"sync"
	"time"
)

// Limiter is a sliding-window limiter of the slot time that probes of this host take
// at one instance.
type Limiter struct {
	share       time.Duration // slot time per window for this host
	window      time.Duration
	maxDuration time.Duration // of one probe
	startsAt    int64         // earliest first probe, Unix nanoseconds

	mu           sync.Mutex
	reservations []*Reservation
	nextAt       int64         // earliest next probe; spreads the probes over the window
	reserved     time.Duration // by the reservations in the window
	used         time.Duration // since the start
}

// Reservation is the slot time reserved for one probe.
type Reservation struct {
	limiter *Limiter
	cost    time.Duration
	endsAt  int64
}

// LimiterConfig is the probe budget of one instance, for all hosts together.
type LimiterConfig struct {
	Budget      float64       // fraction of the slot time
	Slots       int           // of the instance
	Hosts       int           // maximum number of entry hosts at a time
	Window      time.Duration // of the budget
	MaxDuration time.Duration // of one probe
}

// NewLimiter returns a limiter with the share of one host that started at the given
// time. The window is extended if needed for one probe to fit into the share.
func NewLimiter(cfg LimiterConfig, startedAt int64) *Limiter {
	window := cfg.Window
	perNanosecond := cfg.Budget * float64(cfg.Slots) / float64(max(cfg.Hosts, 1))
	if perNanosecond > 0 {
		window = max(window, time.Duration(float64(cfg.MaxDuration)/perNanosecond)+1)
	}
	return &Limiter{
		share: time.Duration(perNanosecond * float64(window)), window: window,
		maxDuration: cfg.MaxDuration, startsAt: startedAt + int64(window),
	}
}

// Window returns the window of the budget after any extension.
func (l *Limiter) Window() time.Duration { return l.window }

// Reserve reserves the maximum duration of a probe, or returns nil if that exceeds
// the budget. The probe must end within that time.
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

// Settle returns the unused part of the reservation to the budget.
func (r *Reservation) Settle(elapsed time.Duration) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	unused := max(r.cost-max(elapsed, 0), 0)
	r.cost -= unused
	r.limiter.reserved -= unused
	r.limiter.used -= unused
	r.limiter.nextAt -= r.limiter.spacing(unused)
}

// spacing returns the time after which the budget covers a cost.
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

// Used returns the slot time used since the start.
func (l *Limiter) Used() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// lastEndsAt returns the latest possible end of the last probe.
func (l *Limiter) lastEndsAt() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.reservations) == 0 {
		return l.startsAt - int64(l.window)
	}
	return l.reservations[len(l.reservations)-1].endsAt
}
