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
	share  time.Duration // slot time that this host may use in a window
	window time.Duration
	most   time.Duration // time that one probe may take
	from   int64         // first probe, Unix nanoseconds

	mu      sync.Mutex
	entries []*Reservation
	next    int64 // first time of the next probe, so that probes are spread over the window
	spent   time.Duration
	used    time.Duration // since the start
}

// Reservation is the slot time set aside for one probe.
type Reservation struct {
	ledger *Limiter
	cost   time.Duration
	endsAt int64
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
		most: p.MaxDuration, from: startedAt + int64(window),
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
	if now < max(l.from, l.next) || l.most == 0 || l.spent+l.most > l.share {
		return nil
	}
	r := &Reservation{ledger: l, cost: l.most, endsAt: now + int64(l.most)}
	l.spent += r.cost
	l.used += r.cost
	l.next = now + l.pause(r.cost)
	l.entries = append(l.entries, r)
	return r
}

// Settle gives back what a probe did not take.
func (r *Reservation) Settle(took time.Duration) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	unused := max(r.cost-max(took, 0), 0)
	r.cost -= unused
	r.ledger.spent -= unused
	r.ledger.used -= unused
	r.ledger.next -= r.ledger.pause(unused)
}

// pause is the time in which a cost is earned.
func (l *Limiter) pause(cost time.Duration) int64 {
	return int64(float64(cost) / float64(l.share) * float64(l.window))
}

// expire drops the probes that ended more than a window ago.
func (l *Limiter) expire(now int64) {
	n := 0
	for n < len(l.entries) && l.entries[n].endsAt+int64(l.window) <= now {
		l.spent -= l.entries[n].cost
		n++
	}
	l.entries = append(l.entries[:0], l.entries[n:]...)
}

// Used returns the slot time spent since the start.
func (l *Limiter) Used() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// lastEnd returns when the last probe ends at the latest.
func (l *Limiter) lastEnd() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return l.from - int64(l.window)
	}
	return l.entries[len(l.entries)-1].endsAt
}
