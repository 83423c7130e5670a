package route

import "sync"

// slowdownTrust is how long a reported slowdown is assumed to hold, in
// nanoseconds. Instances on
// shared hosts change speed several times a second.
const slowdownTrust = float64(2 * slowdownHalfLife)

// workClock is a virtual clock that advances with the work an instance could do at
// its reported slowdowns: one nanosecond at the usual speed is one nanosecond of
// work. The work between a request and its response distinguishes a slow instance
// from a temporary slowdown of its host.
type workClock struct {
	mu           sync.Mutex
	work         float64
	at           int64
	slowdown     float64
	meanSlowdown float64 // EWMA of the reported slowdowns
}

// meanSlowdownWeight is the EWMA weight of a new report in the instance's mean slowdown.
const meanSlowdownWeight = 0.05

// setSlowdown sets the slowdown that applies from a time on.
func (c *workClock) setSlowdown(slowdown float64, at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work = c.readLocked(at)
	c.at, c.slowdown = at, slowdown
	if c.meanSlowdown == 0 {
		c.meanSlowdown = 1
	}
	c.meanSlowdown += meanSlowdownWeight * (slowdown - c.meanSlowdown)
}

// readLocked returns the work up to a time. The caller holds the lock.
func (c *workClock) readLocked(at int64) float64 {
	if c.at == 0 {
		return float64(at)
	}
	elapsed := float64(max(at-c.at, 0))
	trusted := min(elapsed, slowdownTrust)
	return c.work + trusted/max(c.slowdown, 1) + (elapsed-trusted)/max(c.meanSlowdown, 1)
}

// read returns the work up to a time.
func (c *workClock) read(at int64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readLocked(at)
}

// elapsed returns the work that the instance could do since the clock read work,
// at most latency. It is the whole latency if the instance never reported a
// slowdown.
func (c *workClock) elapsed(work, latency float64, at int64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == 0 {
		return latency
	}
	return min(c.readLocked(at)-work, latency)
}
