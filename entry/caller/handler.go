// Package caller takes requests from callers, sends each to an instance and
// streams the answer back.
//
// Usage:
//
//	handler := caller.New(caller.Parts{Table: table, Router: router, ...})
//	http.Serve(listener, handler)
package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
)

// Request headers that callers may set, and that are passed on.
const (
	ServiceHeader  = "Snipebeam-Service"
	CallerHeader   = "Snipebeam-Caller"
	DeadlineHeader = "Snipebeam-Deadline-Ms" // time left, milliseconds
	AttemptHeader  = "Snipebeam-Attempt"
)

// LoadHeader carries an instance's requests in service and waiting on its
// answers.
const LoadHeader = "Snipebeam-Load"

// RefusedHeader on an answer promises that the instance did not start.
const RefusedHeader = "Snipebeam-Not-Started"

// Acquirer gives out instances for attempts.
type Acquirer interface {
	Acquire(ctx context.Context, q route.Query) (*route.Ticket, error)
}

// Parts are what a handler works with.
type Parts struct {
	Host      string // this host's name
	Zone      string
	Table     *rules.Table
	Router    Acquirer
	Links     *upstream.Pool
	Claims    control.Claimer
	Book      *backlog.Book
	Decisions *decision.Log
	Stopping  *atomic.Bool
}

// Handler serves callers.
type Handler struct {
	parts  Parts
	holder string // unique to this process start
}

// New returns a handler.
func New(parts Parts) *Handler {
	return &Handler{parts: parts, holder: parts.Host + "/" + uuid.NewString()}
}

// call is one request on its way through the handler.
type call struct {
	id       string
	service  string
	caller   string
	version  uint64
	rule     *rule.Rule
	stay     *backlog.Stay
	w        http.ResponseWriter
	r        *http.Request
	decision decision.Decision
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{id: uuid.NewString(), service: serviceOf(r), caller: callerOf(r), w: w, r: r}
	if h.parts.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if problem := h.match(c); problem != nil {
		h.fail(c, problem)
		return
	}
	c.stay = h.parts.Book.Arrive(c.service, time.Now())
	problem := h.run(c)
	c.stay.End(problem != nil, time.Now())
	if problem != nil {
		h.fail(c, problem)
	}
}

func (h *Handler) match(c *call) *outcome.Problem {
	inForce := h.parts.Table.Current()
	c.version = inForce.Number()
	if !h.parts.Table.Learned() {
		return outcome.New(outcome.NotRun, outcome.NotReady, "this host has not learned the rules in force yet")
	}
	if !inForce.Set().Knows(c.service) {
		return outcome.New(outcome.NotRun, outcome.UnknownService, "no rule names the service "+strconv.Quote(c.service))
	}
	c.rule = inForce.Set().Match(c.service, c.r.Method, c.r.URL.EscapedPath(), c.r.Header)
	if c.rule == nil {
		return outcome.New(outcome.NotRun, outcome.NoRule, "no rule of "+c.service+" matches "+c.r.Method+" "+c.r.URL.Path)
	}
	return nil
}

// run returns nil once an answer was sent to the caller.
func (h *Handler) run(c *call) *outcome.Problem {
	ctx, cancel := context.WithTimeout(c.r.Context(), deadlineOf(c))
	defer cancel()
	if c.rule.Contract().Once() {
		return h.runOnce(ctx, c)
	}
	var tried []instance.ID
	for attempt := 1; ; attempt++ {
		problem, id := h.attempt(ctx, c, attempt, tried, nil)
		if problem == nil || problem.Kind() == outcome.Unknown && !replayable(c.r) || attempt > c.rule.Contract().Retries() || ctx.Err() != nil {
			return problem
		}
		tried = append(tried, id)
	}
}

// replayable reports whether the request can be sent a second time.
func replayable(r *http.Request) bool { return r.ContentLength == 0 }

// attempt sends the request to one instance. The recorder, if any, sees the
// answer.
func (h *Handler) attempt(ctx context.Context, c *call, attempt int, tried []instance.ID, seen *recorder) (*outcome.Problem, instance.ID) {
	ticket, err := h.parts.Router.Acquire(ctx, route.NewQuery(c.service, c.rule.Contract(), c.caller, h.parts.Zone, tried...))
	if err != nil {
		var problem *outcome.Problem
		if errors.As(err, &problem) {
			return problem, ""
		}
		return outcome.New(outcome.NotRun, outcome.NoInstance, err.Error()), ""
	}
	target := ticket.Instance()
	c.stay.Start(target.ID(), time.Now())
	if c.r.ContentLength == 0 {
		c.stay.Sent(time.Now())
	}
	started := time.Now()
	exchange, err := h.parts.Links.Send(ctx, target.Address(), h.outgoing(ctx, c, attempt))
	h.note(c, ticket, attempt, time.Since(started))
	if err != nil {
		ticket.Finish(route.Report{Latency: time.Since(started), Failed: true, Lost: true})
		return lost(ctx, err, target.ID()), target.ID()
	}
	return h.answer(c, ticket, exchange, started, seen), target.ID()
}

func (h *Handler) answer(c *call, ticket *route.Ticket, exchange *upstream.Exchange, started time.Time, seen *recorder) *outcome.Problem {
	response := exchange.Response()
	c.stay.Answering(time.Now())
	report := route.Report{Latency: time.Since(started), Failed: response.StatusCode >= http.StatusInternalServerError}
	report.Reported, report.HasReport = reportOf(response)
	defer func() { ticket.Finish(report) }()
	defer exchange.Close()
	c.decision.Status = response.StatusCode
	if response.Header.Get(RefusedHeader) != "" {
		return outcome.New(outcome.NotRun, outcome.UpstreamRefused, "the instance refused before it started")
	}
	copyHeader(c.w.Header(), response.Header)
	c.w.Header().Set(outcome.Header, string(outcome.Answer))
	c.w.Header().Set(outcome.DecisionHeader, c.id)
	c.w.WriteHeader(response.StatusCode)
	seen.head(response)
	if err := stream(c.w, io.TeeReader(exchange, seen)); err != nil {
		report.Failed = true
		h.write(c, "cut")
		panic(http.ErrAbortHandler)
	}
	h.write(c, string(outcome.Answer))
	return nil
}

// stream copies an answer's body and flushes what has arrived.
func stream(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			if ferr := flusher.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func lost(ctx context.Context, err error, id instance.ID) *outcome.Problem {
	var failure *upstream.Failure
	kind := outcome.Unknown
	if errors.As(err, &failure) && !failure.Wrote() {
		kind = outcome.NotRun
	}
	if ctx.Err() != nil {
		return outcome.New(kind, outcome.DeadlineExceeded, "no answer from "+string(id)+" in time")
	}
	return outcome.New(kind, outcome.UpstreamLost, "link to "+string(id)+": "+err.Error())
}

func (h *Handler) note(c *call, ticket *route.Ticket, attempt int, latency time.Duration) {
	c.decision.Instance = string(ticket.Instance().ID())
	c.decision.Attempt = attempt
	c.decision.Reason = ticket.Reason()
	c.decision.Waited = ticket.Waited()
	c.decision.Candidates = ticket.Explain()
	c.decision.Latency = latency
}

func (h *Handler) fail(c *call, problem *outcome.Problem) {
	c.decision.Problem = string(problem.Reason())
	c.decision.Status = problem.Status()
	h.write(c, string(problem.Kind()))
	problem.Write(c.w, c.id)
}

func (h *Handler) write(c *call, result string) {
	d := c.decision
	d.ID, d.Kind, d.At, d.Service, d.Caller = c.id, decision.Route, time.Now(), c.service, c.caller
	d.Method, d.Path, d.Version, d.Outcome = c.r.Method, c.r.URL.Path, c.version, result
	if c.rule != nil {
		d.Rule = c.rule.Place().String()
	}
	d.Host = h.parts.Host
	h.parts.Decisions.Write(&d)
}

// outgoing returns the request as it goes to the instance.
func (h *Handler) outgoing(ctx context.Context, c *call, attempt int) *http.Request {
	out := c.r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = c.r.Host
	removeHopHeaders(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(DeadlineHeader, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	out.Header.Set(AttemptHeader, strconv.Itoa(attempt))
	out.Header.Set(CallerHeader, c.caller)
	return out
}

// serviceOf names the service that a request is for: by header, else by the
// first label of the host.
func serviceOf(r *http.Request) string {
	if name := r.Header.Get(ServiceHeader); name != "" {
		return name
	}
	name, _, _ := strings.Cut(r.Host, ".")
	name, _, _ = strings.Cut(name, ":")
	return name
}

func callerOf(r *http.Request) string {
	if name := r.Header.Get(CallerHeader); name != "" {
		return name
	}
	address, _, _ := net.SplitHostPort(r.RemoteAddr)
	return address
}

func deadlineOf(c *call) time.Duration {
	limit := c.rule.Contract().Deadline()
	ms, err := strconv.ParseInt(c.r.Header.Get(DeadlineHeader), 10, 32)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

func reportOf(response *http.Response) (int, bool) {
	n, err := strconv.Atoi(response.Header.Get(LoadHeader))
	return n, err == nil && n >= 0
}
