package caller

import "sync"

// fairShareDivisor divides the in-flight limit into the share that one caller
// may use once half of the limit is in use.
const fairShareDivisor = 4

// inFlightLimiter limits the requests in the handler and keeps one caller from
// using the whole limit.
type inFlightLimiter struct {
	limit int

	mu      sync.Mutex
	total   int
	callers map[string]int
}

func newInFlightLimiter(limit int) *inFlightLimiter {
	return &inFlightLimiter{limit: limit, callers: map[string]int{}}
}

// acquire admits a request and counts it, or reports false.
func (l *inFlightLimiter) acquire(caller string) bool {
	if l.limit <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	overShare := l.total >= l.limit/2 && l.callers[caller] >= max(l.limit/fairShareDivisor, 1)
	if l.total >= l.limit || overShare {
		inFlightRefusals.Inc()
		return false
	}
	l.total++
	l.callers[caller]++
	return true
}

func (l *inFlightLimiter) release(caller string) {
	if l.limit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.callers[caller]--
	if l.callers[caller] == 0 {
		delete(l.callers, caller)
	}
}
