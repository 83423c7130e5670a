// Package limit bounds requests: their rate, the share of retries, and the requests
// in flight of each caller. Nothing in it blocks, and the request path takes no lock
// that all requests share.
//
// Usage:
//
//	var rate limit.Rate
//	if !rate.Allow(now, 50, 5) { ... }
//	callers := limit.NewCallers[string](limit.MaxCallers)
//	c := callers.Get("studio-1", now)
//	if !c.TryAcquire(10) { ... }
//	defer c.Release()
package limit

import "sync/atomic"

const nanosPerSecond = 1e9

// Rate limits events per second by the generic cell rate algorithm (GCRA). Its zero
// value is ready to use and allows a full burst.
type Rate struct {
	arrival atomic.Int64 // theoretical arrival time of the next event, Unix nanoseconds
}

// Allow reports whether an event conforms to the rate, with a burst of up to the
// given number of events, and counts it if so.
func (r *Rate) Allow(now int64, perSecond, burst float64) bool {
	interval := int64(nanosPerSecond / perSecond)
	depth := int64(max(burst, 1) * float64(interval))
	for {
		old := r.arrival.Load()
		next := max(old, now) + interval
		if next-now > depth {
			return false
		}
		if r.arrival.CompareAndSwap(old, next) {
			return true
		}
	}
}
