package caller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
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
	// reachabilityTimeout bounds the check whether an instance is still reachable.
	reachabilityTimeout = 250 * time.Millisecond
)

// What a look at an instance found whose connection closed under a request.
const (
	lookReachable = "reachable"
	lookLost      = "lost"
	lookIsolated  = "isolated"
	lookTimeout   = "timeout"
)

var lossesInIsolation = metrics.GetOrCreateCounter("snipebeam_instances_lost_in_isolation_total")

func closedUnderRequests(look string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`snipebeam_connections_closed_under_requests_total{look="` + look + `"}`)
}

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

// dispatch is one attempt at one instance. Its ticket and its poison attempt end
// exactly once, even if the handler panics.
type dispatch struct {
	h             *Handler
	c             *call
	ticket        *route.Ticket
	target        *instance.Instance
	poisonAttempt *poison.Attempt
	report        route.Report
	recorder      *recorder
	ctx           context.Context // of the exchange, nil for that of the call
	cancel        context.CancelFunc
	started       time.Time
}

func (d *dispatch) finish() {
	d.poisonAttempt.End()
	d.ticket.Finish(d.report)
}

func (d *dispatch) run(attempt int) result {
	d.begin()
	exchange, err := d.send(attempt)
	if d.c.tokenExpired(err) && d.h.charge(d.c) == nil {
		exchange, err = d.send(attempt) // the link is there now
	}
	return d.conclude(attempt, exchange, err)
}

// begin records the start of the attempt.
func (d *dispatch) begin() {
	c := d.c
	d.poisonAttempt = d.h.cfg.Suspects.Begin(c.ctx, c.fingerprint, d.target.Incarnated())
	c.backlogEntry.Dispatched(d.target.ID(), time.Now())
	if c.body.complete {
		c.backlogEntry.Sent(time.Now())
	}
	d.started = time.Now()
	c.exchanges++
}

// conclude forwards the response, or returns the problem if there is none.
func (d *dispatch) conclude(attempt int, exchange *upstream.Exchange, err error) result {
	id := d.target.ID()
	d.report.Latency = time.Since(d.started)
	d.recordDecision(attempt)
	var failure *upstream.Failure
	d.c.sent = d.c.sent || !errors.As(err, &failure) || failure.Wrote()
	d.c.exchanges--
	d.c.restoreToken()
	if err != nil {
		return result{problem: d.exchangeProblem(err), instance: id}
	}
	defer exchange.Close()
	d.h.cfg.Reach.Contact()
	return d.handleResponse(exchange)
}

// send sends the request. An idle link is used only for the first attempt, so that at most
// one attempt finds that the instance has closed it.
func (d *dispatch) send(attempt int) (*upstream.Exchange, error) {
	opts := []upstream.SendOption{upstream.WithCheck(d.usable)}
	if d.ctx == nil { // two exchanges cannot both forward interim responses
		opts = append(opts, upstream.WithInterimHandler(d.c.forwardInterim))
	}
	if dialect := d.c.dialect; dialect.RequestID != "" {
		opts = append(opts, upstream.WithIdentity(dialect.RequestID, d.c.r.Header.Get(dialect.RequestID)))
	}
	if d.c.dialect.CloseDelimited {
		opts = append(opts, upstream.WithCloseDelimited())
	}
	switch {
	case attempt > 1 || d.c.incomingAttempt > 1:
		opts = append(opts, upstream.WithMaxIdle(0))
	case !d.c.repeatable():
		opts = append(opts, upstream.WithMaxIdle(maxIdleUnrepeatable))
	}
	return d.h.cfg.Pool.Send(d.context(), d.target.Address(), d.outgoing(attempt), opts...)
}

// usable reports whether the request may still be sent once there is a link.
func (d *dispatch) usable() bool {
	return !d.c.leftUnnoticed() && d.ticket.Usable() && d.c.token.Spend()
}

func (d *dispatch) context() context.Context {
	if d.ctx != nil {
		return d.ctx
	}
	return d.c.ctx
}

func (d *dispatch) outgoing(attempt int) *http.Request {
	return d.c.outgoing(attempt, d.target.ID()).WithContext(d.context())
}

func (d *dispatch) recordDecision(attempt int) {
	record := &d.c.decision
	record.Instance = string(d.target.ID())
	record.Attempt = attempt
	record.Reason = d.ticket.Reason()
	record.Waited = d.ticket.Waited()
	probes := d.ticket.Probes()
	record.ProbesSent, record.ProbesCompleted, record.ProbeElapsed = probes.Sent, probes.Completed, probes.Elapsed
	record.Candidates = d.ticket.Explain()
	record.Latency = d.report.Latency
}

// exchangeProblem returns the outcome of an exchange without a response, and
// reports the failure.
func (d *dispatch) exchangeProblem(err error) *outcome.Problem {
	var failure *upstream.Failure
	if !errors.As(err, &failure) {
		return outcome.New(outcome.Unknown, outcome.UpstreamLost, err.Error())
	}
	kind := outcome.NotRun
	if failure.Wrote() {
		kind = outcome.Unknown
	} else {
		d.poisonAttempt.Dismiss()
	}
	d.reportFailure(failure)
	if failure.Cause() == upstream.Body {
		return d.c.bodyProblem(kind, failure.Unwrap())
	}
	if failure.Cause() == upstream.Withdrawn {
		return d.c.problem(kind, outcome.NoInstance, string(d.target.ID())+": "+failure.Error())
	}
	return d.c.problem(kind, outcome.UpstreamLost, "connection to "+string(d.target.ID())+": "+failure.Error())
}

// reportFailure reports to the routing policy and the poison suspects what the
// failure means for the instance. An instance that is still reachable does not
// count as lost.
func (d *dispatch) reportFailure(failure *upstream.Failure) {
	ctx, cancel := d.h.reachabilityContext()
	defer cancel()
	pool, address := d.h.cfg.Pool, d.target.Address()
	switch failure.Cause() {
	case upstream.Full, upstream.Body, upstream.Withdrawn:
	case upstream.Cancelled:
		d.report.Failed = d.c.ctx.cause() == errDeadline
	case upstream.Unopened:
		d.report.Failed, d.report.Unreachable = true, true
		d.h.cfg.Reach.SuspectConnect()
	case upstream.Silent:
		if failure.Wrote() {
			d.poisonAttempt.Interrupted()
		}
		d.report.Unreachable = !pool.CanConnect(ctx, address) && !d.h.stop.ended()
		d.report.Failed = d.report.Unreachable
	case upstream.Closed, upstream.Stale:
		d.report.Failed = true
		began := time.Now()
		d.report.Unreachable = !pool.Reachable(ctx, address) && !d.h.stop.ended()
		if failure.Cause() == upstream.Stale {
			d.c.staleAt = d.target.ID()
		}
		if !failure.Wrote() {
			break
		}
		look := d.reportClosed(ctx)
		closedUnderRequests(look).Inc()
		d.h.cfg.Logger.Info("connection closed under a request", "id", d.c.id, "fingerprint", d.c.fingerprint.String(), "instance", d.target.Incarnated(),
			"cause", string(failure.Cause()), "look", look, "lookMs", time.Since(began).Milliseconds())
	case upstream.Malformed:
		d.report.Failed = true
	}
	if d.report.Unreachable {
		d.h.cfg.Reach.SuspectLink()
	}
}

// reportClosed reports that the connection closed under the request: that the instance is lost if
// it cannot be reached, unless this host reaches no other one either. Else it is found out
// later, as an instance that ends does not close all its connections at once.
func (d *dispatch) reportClosed(ctx context.Context) (look string) {
	switch {
	case !d.report.Unreachable:
		d.interrupted()
		return lookReachable
	case ctx.Err() != nil: // no time is left for a look at others
		d.interrupted()
		return lookTimeout
	case !d.h.cfg.Reach.Reaches(ctx, d.target.Address()):
		lossesInIsolation.Inc()
		d.interrupted()
		return lookIsolated
	}
	d.poisonAttempt.InstanceLost(ctx)
	return lookLost
}

// interrupted records that the connection closed under the request, and has the instance looked
// at again.
func (d *dispatch) interrupted() {
	if d.poisonAttempt != nil && d.poisonAttempt.Interrupted() {
		d.h.lookout.watch(d.target)
	}
}
