package limit

import (
	"sync/atomic"
	"time"
)

// SteadyClock is a source of nanoseconds that never goes back, whatever happens to the
// time of day, and that includes the time for which the machine was suspended as far as
// the time of day shows it. It may run fast but not slow, so that what expires by it does
// not expire late.
type SteadyClock struct {
	start time.Time
	lead  atomic.Int64 // largest lead of the time of day over the steady time
}

// NewSteadyClock returns a clock that starts at 0.
func NewSteadyClock() *SteadyClock { return &SteadyClock{start: time.Now()} }

// Now returns the time since the start.
func (c *SteadyClock) Now() int64 {
	now := time.Now()
	return c.read(int64(now.Sub(c.start)), now.UnixNano()-c.start.UnixNano())
}

// read returns the time at the given readings of the steady time and of the time of day.
func (c *SteadyClock) read(steady, wall int64) int64 {
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
