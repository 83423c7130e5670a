package route

import "sync"

// trustedFor is how long a told speed stands for what an instance does: the
// machines that instances share change several times a second.
const trustedFor = float64(2 * speedHalving)

// pace adds up the work that an instance could do, as far as it told its
// speed: one nanosecond at the usual speed is one of work. The work between
// sending a request and its answer tells a slow instance from a slow moment of
// its machine.
type pace struct {
	mu    sync.Mutex
	work  float64
	at    int64
	speed float64
	mean  float64 // of the told speeds
}

// paceWeight is the weight of a new report in the instance's mean speed.
const paceWeight = 0.05

// advance takes a told speed.
func (p *pace) advance(speed float64, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = p.until(at)
	p.at, p.speed = at, speed
	if p.mean == 0 {
		p.mean = 1
	}
	p.mean += paceWeight * (speed - p.mean)
}

// until returns the work up to a time. The lock is held.
func (p *pace) until(at int64) float64 {
	if p.at == 0 {
		return float64(at)
	}
	passed := float64(max(at-p.at, 0))
	trusted := min(passed, trustedFor)
	return p.work + trusted/max(p.speed, 1) + (passed-trusted)/max(p.mean, 1)
}

// now returns the work up to a time.
func (p *pace) now(at int64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until(at)
}

// since returns the work that the instance could do from a moment at which it
// had done some, within a latency: all of that if it never told its speed.
func (p *pace) since(work, latency float64, at int64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == 0 {
		return latency
	}
	return min(p.until(at)-work, latency)
}
