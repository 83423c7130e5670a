package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const (
	// refusedTries is how many further instances are tried after one that
	// provably did not run the request, whatever the contract.
	refusedTries = 2
	// freshIdle is how long a link may have been idle for a request that must
	// not be sent twice, so that the instance is not just closing it.
	freshIdle = 500 * time.Millisecond
	// reachLimit bounds the look whether an instance is still there.
	reachLimit = 250 * time.Millisecond
)

// result is what came of one attempt.
type result struct {
	problem  *outcome.Problem // nil: an answer was sent to the caller
	instance instance.ID      // empty: there was none to try
	final    bool             // a layer below has retried already
}

// tries sends the request until there is an answer or no more attempt is
// allowed. A recorder, if any, sees the answer.
func (h *Handler) tries(c *call, seen *recorder) *outcome.Problem {
	var tried []instance.ID
	var last *outcome.Problem
	for attempt := 1; ; attempt++ {
		result := h.attempt(c, attempt, tried, seen)
		if result.problem == nil {
			return nil
		}
		if result.instance == "" && last != nil {
			return c.overall(last) // no other instance: the attempt before tells more
		}
		last = result.problem
		c.dispatched = c.dispatched || result.problem.Kind() == outcome.Unknown
		if !h.mayRetry(c, result, attempt) {
			return c.overall(result.problem)
		}
		retries.Inc()
		c.stay.Requeue(time.Now())
		tried = append(tried, result.instance)
	}
}

// overall turns "not run" of the last attempt into "unknown" if an earlier one
// may have run.
func (c *call) overall(problem *outcome.Problem) *outcome.Problem {
	if c.dispatched && problem.Kind() == outcome.NotRun {
		return outcome.New(outcome.Unknown, problem.Reason(), "an earlier attempt may have run; "+problem.Detail())
	}
	return problem
}

// mayRetry reports whether another attempt is allowed. A request that is
// itself a retry of the layer above, or that the layer below has retried, is
// not retried here, so that layers do not multiply.
func (h *Handler) mayRetry(c *call, last result, attempt int) bool {
	if last.instance == "" || last.final || c.layer > 1 || c.clock.Err() != nil || !c.body.replayable() {
		return false
	}
	terms := c.rule.Contract()
	allowed := terms.Retries()
	if last.problem.Kind() == outcome.NotRun {
		allowed = max(allowed, refusedTries)
	}
	if most := terms.Attempts(); most > 0 {
		allowed = min(allowed, most-1)
	}
	if (terms.Once() || terms.Single()) && last.problem.Kind() != outcome.NotRun || attempt > allowed {
		return false
	}
	if _, poisoned := h.parts.Suspects.Refused(c.fingerprint, time.Now()); poisoned {
		return false
	}
	return h.parts.Budget == nil || h.parts.Budget.AllowRetry(c.service)
}

// repeatable reports whether the contract allows a request to run twice.
func (c *call) repeatable() bool {
	terms := c.rule.Contract()
	safe := c.r.Method == http.MethodGet || c.r.Method == http.MethodHead || c.r.Method == http.MethodOptions
	return !terms.Once() && !terms.Single() && (terms.Retries() > 0 || safe)
}

// query asks for an instance that no earlier attempt used.
func (c *call) query(zone string, tried []instance.ID) route.Query {
	q := route.NewQuery(c.service, c.rule.Contract(), c.caller, zone, tried...)
	if c.aim.IsZero() {
		return q
	}
	return q.Aiming(c.aim)
}

// attempt sends the request to one instance.
func (h *Handler) attempt(c *call, attempt int, tried []instance.ID, seen *recorder) result {
	ticket, err := h.parts.Router.Acquire(c.clock, c.query(h.parts.Zone, tried))
	if err != nil {
		var problem *outcome.Problem
		if !errors.As(err, &problem) {
			problem = outcome.New(outcome.NotRun, outcome.NoInstance, err.Error())
		}
		return result{problem: c.problem(problem.Kind(), problem.Reason(), problem.Detail())}
	}
	d := &dispatch{h: h, c: c, ticket: ticket, target: ticket.Instance(), seen: seen}
	defer d.finish()
	if h.mayHedge(c) {
		return h.race(d, attempt, tried)
	}
	return d.run(attempt)
}

// dispatch is one attempt at one instance. It ends its ticket and its flight
// exactly once, also if handling panics.
type dispatch struct {
	h       *Handler
	c       *call
	ticket  *route.Ticket
	target  *instance.Instance
	flight  *poison.Flight
	report  route.Report
	seen    *recorder
	ctx     context.Context // ends the exchange, nil: the call's own
	cancel  context.CancelFunc
	stale   bool // the instance closed a link that it may have read the request from
	started time.Time
}

func (d *dispatch) finish() {
	d.flight.Leave()
	d.ticket.Finish(d.report)
}

func (d *dispatch) run(attempt int) result {
	d.begin()
	exchange, err := d.send(attempt)
	return d.conclude(attempt, exchange, err)
}

// begin counts the attempt as under way.
func (d *dispatch) begin() {
	c := d.c
	d.flight = d.h.parts.Suspects.Enter(c.clock, c.fingerprint, string(d.target.ID()))
	c.stay.Start(d.target.ID(), time.Now())
	if c.body.whole {
		c.stay.Sent(time.Now())
	}
	d.started = time.Now()
}

// conclude passes the answer on, or reports why there is none.
func (d *dispatch) conclude(attempt int, exchange *upstream.Exchange, err error) result {
	id := d.target.ID()
	d.c.dispatched = d.c.dispatched || d.stale
	d.report.Latency = time.Since(d.started)
	d.note(attempt)
	if err != nil {
		return result{problem: d.lost(err), instance: id}
	}
	defer exchange.Close()
	return d.answer(exchange)
}

// send sends the request. A link that the instance closed as the request came
// is replaced by a new one if the request may run twice.
func (d *dispatch) send(attempt int) (*upstream.Exchange, error) {
	var opts []upstream.SendOption
	if d.ctx == nil { // two exchanges cannot both tell the caller
		opts = append(opts, upstream.WithInform(d.c.inform))
	}
	if speaks := d.c.dialect; speaks.RequestID != "" {
		opts = append(opts, upstream.WithIdentity(speaks.RequestID, d.c.r.Header.Get(speaks.RequestID)))
	}
	if d.c.dialect.CloseDelimited {
		opts = append(opts, upstream.WithUnframed())
	}
	switch {
	case attempt > 1:
		opts = append(opts, upstream.WithMaxIdle(0))
	case !d.c.repeatable():
		opts = append(opts, upstream.WithMaxIdle(freshIdle))
	}
	exchange, err := d.h.parts.Pool.Send(d.context(), d.target.Address(), d.outgoing(attempt), opts...)
	var failure *upstream.Failure
	if errors.As(err, &failure) && failure.Cause() == upstream.Stale && d.c.repeatable() && d.c.body.replayable() {
		d.stale = true // the instance may have run it before it closed the link
		opts = append(opts, upstream.WithMaxIdle(0))
		return d.h.parts.Pool.Send(d.context(), d.target.Address(), d.outgoing(attempt), opts...)
	}
	return exchange, err
}

func (d *dispatch) context() context.Context {
	if d.ctx != nil {
		return d.ctx
	}
	return d.c.clock
}

func (d *dispatch) outgoing(attempt int) *http.Request {
	return d.c.outgoing(attempt, d.target.ID()).WithContext(d.context())
}

func (d *dispatch) note(attempt int) {
	note := &d.c.decision
	note.Instance = string(d.target.ID())
	note.Attempt = attempt
	note.Reason = d.ticket.Reason()
	note.Waited = d.ticket.Waited()
	look := d.ticket.Look()
	note.Asked, note.Told, note.Look = look.Asked, look.Told, look.Took
	note.Candidates = d.ticket.Explain()
	note.Latency = d.report.Latency
}

// lost reports an exchange that gave no answer.
func (d *dispatch) lost(err error) *outcome.Problem {
	var failure *upstream.Failure
	if !errors.As(err, &failure) {
		return outcome.New(outcome.Unknown, outcome.UpstreamLost, err.Error())
	}
	kind := outcome.NotRun
	if failure.Wrote() {
		kind = outcome.Unknown
	}
	d.judge(failure)
	if failure.Cause() == upstream.Body {
		return d.c.bodyProblem(kind, failure.Unwrap())
	}
	return d.c.problem(kind, outcome.UpstreamLost, "link to "+string(d.target.ID())+": "+failure.Error())
}

// judge tells the policy and the suspects what the failure says of the
// instance. One that can be reached by a new link is not lost.
func (d *dispatch) judge(failure *upstream.Failure) {
	ctx, cancel := d.h.reachContext()
	defer cancel()
	links, address := d.h.parts.Pool, d.target.Address()
	switch failure.Cause() {
	case upstream.Full, upstream.Body:
	case upstream.Cancelled:
		d.report.Failed = d.c.clock.cause() == errDeadline
	case upstream.Unopened:
		d.report.Failed, d.report.Lost = true, true
	case upstream.Silent:
		d.report.Lost = !links.Connects(ctx, address)
		d.report.Failed = d.report.Lost
	case upstream.Closed, upstream.Stale:
		d.report.Failed = true
		d.report.Lost = !links.Reachable(ctx, address)
		if d.report.Lost {
			d.flight.Lost(ctx)
		}
	case upstream.Malformed:
		d.report.Failed = true
	}
}
