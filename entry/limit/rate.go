// Package limit bounds requests: a rate, a share of retries, and what each of
// many callers has in flight. Nothing here waits, and nothing on the path of a
// request takes a lock that all requests share.
//
// Usage:
//
//	var rate limit.Rate
//	if !rate.Allow(now, 50, 5) { ... }
//	callers := limit.NewCallers[string](limit.MaxCallers)
//	c := callers.Get("studio-1", now)
//	if !c.Enter(10) { ... }
//	defer c.Leave()
package limit

import "sync/atomic"

const nanosPerSecond = 1e9

// Rate bounds events a second by the generic cell rate algorithm. Its zero
// value has seen no event.
type Rate struct {
	next atomic.Int64 // time at which the bucket is full again, Unix nanoseconds
}

// Allow takes one event if it keeps to the rate, with a burst of up to the
// given number of events.
func (r *Rate) Allow(now int64, perSecond, burst float64) bool {
	interval := int64(nanosPerSecond / perSecond)
	depth := int64(max(burst, 1) * float64(interval))
	for {
		old := r.next.Load()
		next := max(old, now) + interval
		if next-now > depth {
			return false
		}
		if r.next.CompareAndSwap(old, next) {
			return true
		}
	}
}
