package route

// Constants of the adaptive in-flight limit of an instance.
const (
	minLimit       = 1.0
	maxHeadroom    = 16.0 // in-flight requests beyond the slots, whatever the policy allows
	toleratedRatio = 3.0  // of an instance's service time to the mean of its service
)

// inFlightLimit returns how many requests may be in flight at the instance. The
// limit increases additively with successes, decreases multiplicatively with
// failures, and is lower for a slow instance. latencyRatio is the service time of
// the instance divided by the mean of its service.
func (l *Load) inFlightLimit(maxLimit, latencyRatio float64, state State) float64 {
	if state == Recovering {
		return minLimit
	}
	bound := maxLimit
	if limit := l.limit.get(); limit > 0 {
		bound = min(bound, limit)
	} else if state == Cold {
		bound = minLimit
	}
	if latencyRatio > toleratedRatio {
		bound = min(bound, maxLimit*toleratedRatio/latencyRatio)
	}
	return max(bound, minLimit)
}

// grow raises the limit by one after a success, up to maxLimit. A cold instance
// starts with a limit of one (slow start).
func (l *Load) grow(maxLimit float64, cold bool) {
	l.limit.update(func(old float64) float64 {
		if old == 0 && !cold {
			return maxLimit
		}
		old = max(old, minLimit)
		return min(old+1, maxLimit)
	})
}

// shrink halves the limit after a failure.
func (l *Load) shrink(maxLimit float64) {
	l.limit.update(func(old float64) float64 {
		if old == 0 {
			old = maxLimit
		}
		return max(old/2, minLimit)
	})
}
