package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// reachabilityTimeout bounds the check whether an instance is still reachable.
const reachabilityTimeout = 250 * time.Millisecond

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
	opts := append(d.c.responseOptions(), upstream.WithCheck(d.usable))
	if d.ctx == nil { // two exchanges cannot both forward interim responses
		opts = append(opts, upstream.WithInterimHandler(d.c.forwardInterim))
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
