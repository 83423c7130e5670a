// Package steady has a clock for what must not expire late, such as budgets and grants.
//
// Usage:
//
//	clock := steady.New()
//	if clock.Now()-earnedAt > int64(lifetime) { ... }
package steady

import (
	"sync/atomic"
	"time"
)

// Clock is a source of nanoseconds that never goes back, whatever happens to the time of
// day, and that includes the time for which the machine was suspended as far as the time of
// day shows it. It may run fast but not slow.
type Clock struct {
	start time.Time
	lead  atomic.Int64 // largest lead of the time of day over the steady time
}

// New returns a clock that starts at 0.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the time since the start.
func (c *Clock) Now() int64 {
	now := time.Now()
	return c.read(int64(now.Sub(c.start)), now.UnixNano()-c.start.UnixNano())
}

// Suspended returns for how long the machine has been suspended since the start. It also
// includes steps ahead of the time of day.
func (c *Clock) Suspended() time.Duration {
	c.Now()
	return time.Duration(c.lead.Load())
}

// read returns the time at the given readings of the steady time and of the time of day.
func (c *Clock) read(steady, wall int64) int64 {
	for {
		old := c.lead.Load()
		if wall-steady <= old {
			return steady + old
		}
		if c.lead.CompareAndSwap(old, wall-steady) {
			return wall
		}
	}
}
