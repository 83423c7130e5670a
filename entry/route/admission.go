package route

import (
	"sync/atomic"

	"github.com/snipebeam/snipebeam/entry/limit"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// burstSeconds is the burst of a rate, as the time in which it would be earned.
const burstSeconds = 0.1

// admission holds a service's limits at this host: its rate and requests in
// flight, those of each caller, and its retries.
type admission struct {
	inFlight atomic.Int32
	rate     limit.Rate
	retries  limit.Budget
	extra    limit.Rate // retries beside the budget
	callers  *limit.Callers[callerKey]
}

// callerKey names a caller under the whole service, or under one rule's
// contract.
type callerKey struct {
	contract *contract.Contract
	caller   string
}

// pass is what an admitted request holds until it ends.
type pass struct {
	callers [2]*limit.Caller
}

func (p *pass) leave() {
	for n, c := range p.callers {
		if c != nil {
			c.Release()
			p.callers[n] = nil
		}
	}
}

// limited reports whether any limit applies to a request.
func limited(q *Query, terms *contract.Service) bool {
	if terms.InFlight() > 0 || terms.Rate() > 0 || terms.CallerInFlight() > 0 || terms.CallerRate() > 0 {
		return true
	}
	return q.contract != nil && (q.contract.CallerInFlight() > 0 || q.contract.CallerRate() > 0)
}

func newAdmission() *admission {
	return &admission{callers: limit.NewCallers[callerKey](limit.MaxCallers)}
}

// admit takes a request if it keeps to the limits. share is this host's part
// of limits that hold for all hosts together.
func (a *admission) admit(q *Query, terms *contract.Service, share float64, now int64) (pass, error) {
	var p pass
	if r := terms.Rate() * share; r > 0 && !a.rate.Allow(now, r, r*burstSeconds) {
		return p, outcome.New(outcome.NotRun, outcome.Overload, "the rate of "+q.service+" is above its limit")
	}
	if problem := a.enter(&p.callers[0], callerKey{caller: q.caller}, terms.CallerInFlight(), terms.CallerRate(), share, now); problem != nil {
		return p, problem
	}
	if problem := a.enterRule(&p, q, share, now); problem != nil {
		p.leave()
		return p, problem
	}
	if !q.Retry() {
		a.retries.Earn(terms.RetryBudget())
	}
	return p, nil
}

// enterRule applies the limits of the rule that matched.
func (a *admission) enterRule(p *pass, q *Query, share float64, now int64) error {
	if q.contract == nil {
		return nil
	}
	key := callerKey{contract: q.contract, caller: q.caller}
	return a.enter(&p.callers[1], key, q.contract.CallerInFlight(), q.contract.CallerRate(), share, now)
}

func (a *admission) enter(held **limit.Caller, key callerKey, most int, rate, share float64, now int64) error {
	if most == 0 && rate == 0 {
		return nil
	}
	c := a.callers.Get(key, now)
	if r := rate * share; r > 0 && !c.Rate().Allow(now, r, r*burstSeconds) {
		return outcome.New(outcome.NotRun, outcome.CallerLimit, "the caller's rate is above its limit")
	}
	if most == 0 {
		return nil
	}
	if !c.TryAcquire(max(int(float64(most)*share), 1)) {
		return outcome.New(outcome.NotRun, outcome.CallerLimit, "the caller has as many requests in flight as it may")
	}
	*held = c
	return nil
}

// Parts of the allowance of retries that this host uses in a window. What is
// left is for hosts that took over from one another within it, and for those
// that callers are not told of.
const (
	allowanceBurst  = 0.2
	allowanceRefill = 0.3
)

// spendRetry takes one retry from the budget, or from this host's part of the
// allowance.
func (d *Dispatcher) spendRetry() bool {
	if d.limits.retries.Spend() {
		return true
	}
	n, window := d.router.terms(d.service).RetryAllowance()
	part := float64(n) * d.router.share(d.service)
	if part < 1/allowanceBurst {
		return false
	}
	return d.limits.extra.Allow(d.router.clock(), allowanceRefill*part/window.Seconds(), allowanceBurst*part)
}

// full reports whether the service has as many requests in flight as it may.
func (a *admission) full(terms *contract.Service, share float64) bool {
	most := terms.InFlight()
	return most > 0 && int(a.inFlight.Load()) >= max(int(float64(most)*share), 1)
}
