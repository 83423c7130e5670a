package route

// Constants of the limit of requests in flight at one instance.
const (
	firstLimit     = 1.0
	maxHeadroom    = 16.0 // beyond the slots, whatever the policy allows
	toleratedRatio = 3.0  // of an instance's service time to the service's own
)

// allowed returns how many requests the instance may have: a limit that grows
// with successes and shrinks with failures, and less if it is slow.
func (l *Load) allowed(most, slowness float64, state State) float64 {
	if state == Recovering {
		return firstLimit
	}
	allowed := most
	if limit := l.limit.get(); limit > 0 {
		allowed = min(allowed, limit)
	} else if state == Cold {
		allowed = firstLimit
	}
	if slowness > toleratedRatio {
		allowed = min(allowed, most*toleratedRatio/slowness)
	}
	return max(allowed, firstLimit)
}

// grow raises the limit after a good answer, up to the largest useful value. A
// cold instance starts with one request.
func (l *Load) grow(most float64, cold bool) {
	l.limit.update(func(old float64) float64 {
		if old == 0 && !cold {
			return most
		}
		old = max(old, firstLimit)
		return min(old+1, most)
	})
}

// shrink halves the limit after a failure.
func (l *Load) shrink(most float64) {
	l.limit.update(func(old float64) float64 {
		if old == 0 {
			old = most
		}
		return max(old/2, firstLimit)
	})
}
