package route

import (
	"sync/atomic"

	"github.com/snipebeam/snipebeam/entry/limit"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// burstSeconds is the burst of a rate limit, in seconds at that rate.
const burstSeconds = 0.1

// limiter enforces a service's limits at this host: its rate and in-flight
// requests, those of each caller, and its retries.
type limiter struct {
	inFlight atomic.Int32
	rate     limit.Rate
	retries  limit.Budget
	callers  *limit.Callers[callerKey]
}

// callerKey identifies a caller under the whole service (nil contract) or under
// one rule's contract.
type callerKey struct {
	contract *contract.Contract
	caller   string
}

// permit holds the in-flight slots of an admitted request until it ends.
type permit struct {
	callers [2]*limit.Caller
}

func (p *permit) release() {
	for n, c := range p.callers {
		if c != nil {
			c.Release()
			p.callers[n] = nil
		}
	}
}

// hasLimits reports whether any limit applies to a request.
func hasLimits(q *Query, terms *contract.Service) bool {
	if terms.InFlight() > 0 || terms.Rate() > 0 || terms.CallerInFlight() > 0 || terms.CallerRate() > 0 {
		return true
	}
	return q.contract != nil && (q.contract.CallerInFlight() > 0 || q.contract.CallerRate() > 0)
}

func newLimiter() *limiter {
	return &limiter{callers: limit.NewCallers[callerKey](limit.MaxCallers)}
}

// admit admits a request if it is within the limits. share is this host's share
// of fleet-wide limits.
func (l *limiter) admit(q *Query, terms *contract.Service, share float64, now int64) (permit, error) {
	var p permit
	if r := terms.Rate() * share; r > 0 && !l.rate.Allow(now, r, r*burstSeconds) {
		return p, outcome.New(outcome.NotRun, outcome.Overload, "the rate limit of "+q.service+" is exceeded")
	}
	if problem := l.acquireCaller(&p.callers[0], callerKey{caller: q.caller}, terms.CallerInFlight(), terms.CallerRate(), share, now); problem != nil {
		return p, problem
	}
	if problem := l.acquireRule(&p, q, share, now); problem != nil {
		p.release()
		return p, problem
	}
	return p, nil
}

// acquireRule applies the limits of the matching rule.
func (l *limiter) acquireRule(p *permit, q *Query, share float64, now int64) error {
	if q.contract == nil {
		return nil
	}
	key := callerKey{contract: q.contract, caller: q.caller}
	return l.acquireCaller(&p.callers[1], key, q.contract.CallerInFlight(), q.contract.CallerRate(), share, now)
}

func (l *limiter) acquireCaller(slot **limit.Caller, key callerKey, maxInFlight int, rate, share float64, now int64) error {
	if maxInFlight == 0 && rate == 0 {
		return nil
	}
	c := l.callers.Get(key, now)
	if r := rate * share; r > 0 && !c.Rate().Allow(now, r, r*burstSeconds) {
		return outcome.New(outcome.NotRun, outcome.CallerLimit, "the caller's rate limit is exceeded")
	}
	if maxInFlight == 0 {
		return nil
	}
	if !c.TryAcquire(max(int(float64(maxInFlight)*share), 1)) {
		return outcome.New(outcome.NotRun, outcome.CallerLimit, "the caller's in-flight limit is reached")
	}
	*slot = c
	return nil
}

// full reports whether the service's in-flight limit is reached.
func (l *limiter) full(terms *contract.Service, share float64) bool {
	maxInFlight := terms.InFlight()
	return maxInFlight > 0 && int(l.inFlight.Load()) >= max(int(float64(maxInFlight)*share), 1)
}
