package caller

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const (
	// notRunRetries is the number of retries that are allowed, whatever the
	// contract, after attempts that provably did not run the request.
	notRunRetries = 2
	// maxIdleUnrepeatable bounds how long a connection may have been idle to be
	// reused for a request that must not be sent twice: after a longer idle time
	// the instance may be closing it.
	maxIdleUnrepeatable = 500 * time.Millisecond
)

// result describes the end of one attempt.
type result struct {
	problem  *outcome.Problem // nil: a response was sent to the caller
	instance instance.ID      // empty: none was available
	final    bool             // the layer below has already retried, or a response was begun
}

// sendWithRetries sends the request until there is a response or no further
// attempt is allowed. rec, which may be nil, records the response.
func (h *Handler) sendWithRetries(c *call, rec *recorder) *outcome.Problem {
	var tried []instance.ID
	var last *outcome.Problem
	for attempt := 1; ; attempt++ {
		result := h.attempt(c, attempt, tried, rec)
		if result.problem == nil {
			return nil
		}
		if result.instance == "" && last != nil {
			result.problem = last // no other instance: the previous problem is more specific
		} else if result.problem.Kind() == outcome.Unknown {
			c.dispatched = true
			c.ranAttempts++
		}
		last = result.problem
		if result.instance != c.staleAt {
			tried = append(tried, result.instance)
		}
		if !h.mayRetry(c, result, len(tried)) {
			if h.mayRelay(c, &result) {
				return h.relay(c, h.cfg.Relay.Hosts(), result.problem)
			}
			return c.overall(result.problem)
		}
		retries.Inc()
		c.backlogEntry.Requeue(time.Now())
	}
}

// overall returns the outcome of all attempts: "not run" of the last one becomes
// "unknown" if an earlier one may have run.
func (c *call) overall(problem *outcome.Problem) *outcome.Problem {
	if c.dispatched && problem.Kind() == outcome.NotRun {
		reason := problem.Reason()
		switch reason {
		case outcome.HostStopping, outcome.OrganisationRate: // promise that the request was not run
			reason = outcome.UpstreamLost
		}
		return outcome.New(outcome.Unknown, reason, "an earlier attempt may have run; "+problem.Detail())
	}
	return problem
}

// mayRetry reports whether another attempt is allowed. A request that is
// itself a retry by the layer above, or that the layer below has retried, is
// not retried here, so that retries do not multiply across layers.
//
// An attempt that found its idle link closed does not count for the retries of the
// contract, but it may have run.
func (h *Handler) mayRetry(c *call, last result, attempts int) bool {
	if last.instance == "" || last.final || c.incomingAttempt > 1 || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	terms := c.rule.Contract()
	allowed := terms.Retries()
	if last.problem.Kind() == outcome.NotRun {
		allowed = max(allowed, notRunRetries)
	}
	if maxAttempts := terms.Attempts(); maxAttempts > 0 && c.sentTo(attempts) >= maxAttempts {
		return false
	}
	if (terms.Once() || terms.Single()) && last.problem.Kind() != outcome.NotRun || attempts > allowed {
		return false
	}
	if _, poisoned := h.cfg.Suspects.Refused(c.fingerprint, time.Now()); poisoned {
		return false
	}
	if last.instance == c.staleAt {
		return h.allowRepeat(c, decision.Resend)
	}
	return h.allowRepeat(c, decision.Retry)
}

// sentTo returns the number of instances that may have run the request, after the given
// number of attempts at this host that did not find their link closed.
func (c *call) sentTo(attempts int) int {
	if c.staleAt != "" {
		attempts++
	}
	return attempts + c.priorAttempts
}

// repeatable reports whether the contract allows the request to run twice.
func (c *call) repeatable() bool {
	terms := c.rule.Contract()
	safe := c.r.Method == http.MethodGet || c.r.Method == http.MethodHead || c.r.Method == http.MethodOptions
	return !terms.Once() && !terms.Single() && (terms.Retries() > 0 || safe)
}

// query returns a query for an instance that no earlier attempt has used.
func (c *call) query(zone string, tried []instance.ID) route.Query {
	if c.staleAt != "" {
		tried = append(slices.Clone(tried), c.staleAt)
	}
	q := route.NewQuery(c.service, c.rule.Contract(), c.caller, zone, tried...).WithOrganisation(c.organisation).WithRanks(c.keyed)
	if c.counted {
		q = q.Repeated()
	}
	c.counted = true
	if c.softDeadline.IsZero() {
		return q
	}
	return q.WithSoftDeadline(c.softDeadline)
}

// attempt sends the request to one instance.
func (h *Handler) attempt(c *call, attempt int, tried []instance.ID, rec *recorder) result {
	if problem := h.chargeFirst(c); problem != nil {
		return result{problem: problem}
	}
	ticket, problem := h.acquireTicket(c, tried)
	if problem != nil && problem.Reason() == outcome.NoInstance && c.staleAt != "" {
		c.staleAt = "" // there is no other one
		ticket, problem = h.acquireTicket(c, tried)
	}
	if problem != nil {
		return result{problem: c.problem(problem.Kind(), problem.Reason(), problem.Detail()).WithRetryAfter(problem.RetryAfter())}
	}
	if problem := h.charge(c); problem != nil {
		ticket.Release()
		return result{problem: problem}
	}
	d := &dispatch{h: h, c: c, ticket: ticket, target: ticket.Instance(), recorder: rec}
	defer d.finish()
	if h.mayHedge(c) {
		return h.runHedged(d, attempt, tried)
	}
	return d.run(attempt)
}

func (h *Handler) acquireTicket(c *call, tried []instance.ID) (*route.Ticket, *outcome.Problem) {
	ticket, err := h.acquire(c, tried)
	if err == nil {
		return ticket, nil
	}
	var problem *outcome.Problem
	if !errors.As(err, &problem) {
		problem = outcome.New(outcome.NotRun, outcome.NoInstance, err.Error())
	}
	return nil, problem
}
