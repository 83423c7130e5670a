// Package caller takes requests from callers, sends each to an instance and
// streams the answer back.
//
// Each request ends with exactly one outcome. An answer is passed on as it
// comes, and the caller's link is aborted if it is cut. "Not run" is told only
// if no byte of the request went to an instance in any attempt, or if the
// instance promised that it did not start. Everything else is unknown.
//
// Usage:
//
//	handler := caller.New(caller.Parts{Table: table, Router: router, ...})
//	http.Serve(listener, handler)
package caller

import (
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
)

// Acquirer gives out instances for attempts.
type Acquirer interface {
	Acquire(ctx context.Context, q route.Query) (*route.Ticket, error)
	// Try is Acquire without waiting; nil: there is no instance to spare.
	Try(q route.Query) *route.Ticket
	// HedgeDelay is the time after which an answer is late, 0 if unknown.
	HedgeDelay(service string, aim time.Duration) time.Duration
}

// RetryBudget says whether a service may have one more retry now.
type RetryBudget interface {
	AllowRetry(service string) bool
}

// Config are what a handler works with.
type Config struct {
	Host      string // this host's name
	Zone      string
	Table     *rules.Table
	Router    Acquirer
	Pool      *upstream.Pool
	Claims    control.Claimer
	Settler   *control.Settler
	Suspects  *poison.Book
	Budget    RetryBudget // nil: no bound
	Backlog   *backlog.Book
	Decisions *decision.Log
	Stopping  *atomic.Bool
	Logger    hclog.Logger
	Limits    Limits
	Dialect   *Dialect // nil: snipebeam's own
}

// Limits bound what one request may take.
type Limits struct {
	BodyBytes       int64         // largest request body
	BufferBytes     int64         // part of a body that is kept for a retry and a fingerprint
	ProgressTimeout time.Duration // time that a caller may take for ProgressBytes
	InFlight        int           // requests in the handler, 0 for no bound
	ProgressBytes   int
}

// DefaultLimits returns the limits used where none are given.
func DefaultLimits() Limits {
	return Limits{BodyBytes: 4 << 30, BufferBytes: 64 << 10, ProgressTimeout: 30 * time.Second, ProgressBytes: 1 << 10}
}

// Handler serves callers.
type Handler struct {
	parts  Config
	holder string // unique to this process start
	door   *door
	turns  turns
	waits  waits
}

// New returns a handler.
func New(parts Config) *Handler {
	if parts.Limits == (Limits{}) {
		parts.Limits = DefaultLimits()
	}
	if parts.Dialect == nil {
		parts.Dialect = &native
	}
	if parts.Logger == nil {
		parts.Logger = hclog.NewNullLogger()
	}
	if parts.Suspects == nil {
		parts.Suspects = poison.NewBook()
	}
	if parts.Settler == nil {
		parts.Settler = control.NewSettler(parts.Claims)
	}
	return &Handler{parts: parts, holder: parts.Host + "/" + uuid.NewString(), door: newDoor(parts.Limits.InFlight)}
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r, h.parts.Limits, h.parts.Dialect)
	if h.parts.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer h.recover(c)
	if problem := h.admit(c); problem != nil {
		h.fail(c, problem)
		return
	}
	defer h.door.leave(c.caller)
	c.stay = h.parts.Backlog.Arrive(c.service, time.Now())
	failed := true
	defer func() { c.stay.End(failed, time.Now()) }()
	problem := h.run(c)
	failed = problem != nil
	if problem != nil {
		h.fail(c, problem)
	}
}

// recover ends a request whose handling panicked. An abort goes on to the
// server, which closes the caller's link.
func (h *Handler) recover(c *call) {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	panics.Inc()
	h.parts.Logger.Error("request handler panicked", "id", c.id, "service", c.service, "panic", value, "stack", string(debug.Stack()))
	kind := outcome.NotRun
	if c.dispatched {
		kind = outcome.Unknown
	}
	h.fail(c, outcome.New(kind, outcome.Internal, "the request could not be handled"))
}

// admit finds the request's rule and checks what can be checked at once.
func (h *Handler) admit(c *call) *outcome.Problem {
	if problem := h.match(c); problem != nil {
		return problem
	}
	if problem := refuseForm(c.r); problem != nil {
		return problem
	}
	if most := h.bodyLimit(c); c.r.ContentLength > most {
		return outcome.New(outcome.NotRun, outcome.BodyTooLarge, "the body is larger than "+strconv.FormatInt(most, 10)+" bytes")
	}
	if !h.door.enter(c.caller) {
		return outcome.New(outcome.NotRun, outcome.Overload, "this host has as many requests as it takes")
	}
	return nil
}

func (h *Handler) match(c *call) *outcome.Problem {
	inForce := h.parts.Table.Current()
	c.version = inForce.Number()
	if !h.parts.Table.Learned() {
		return outcome.New(outcome.NotRun, outcome.NotReady, "this host has not learned the rules in force yet")
	}
	if host := rule.HostOf(c.r); inForce.Set().HasHost(host) {
		return h.matchHost(c, inForce.Set(), host)
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

// matchHost finds the rule of a request that names no service, and the service
// that its turn falls on.
func (h *Handler) matchHost(c *call, set *rule.Set, host string) *outcome.Problem {
	c.service = ""
	c.rule = set.At(host, c.r.URL.EscapedPath())
	if c.rule == nil {
		return outcome.New(outcome.NotRun, outcome.NoRule, "no rule of "+host+" matches "+c.r.URL.Path)
	}
	c.service = h.turns.service(c.rule)
	return nil
}

// bodyLimit returns the largest body that the request may have.
func (h *Handler) bodyLimit(c *call) int64 {
	if most := c.rule.Contract().MaxBody(); most > 0 {
		return min(most, h.parts.Limits.BodyBytes)
	}
	return h.parts.Limits.BodyBytes
}

// run returns nil once an answer was sent to the caller.
func (h *Handler) run(c *call) *outcome.Problem {
	terms := c.rule.Contract()
	c.clock = newClock(c.r, terms, c.dialect.Deadline)
	defer c.clock.stop()
	c.aim = h.waits.aim(c.rule, c.clock.given, time.Now())
	if terms.Once() && c.r.Header.Get(terms.OnceHeader()) == "" {
		return outcome.New(outcome.NotRun, outcome.KeyMissing, "the rule asks for the header "+terms.OnceHeader())
	}
	c.body = newBody(c, h.bodyLimit(c), h.parts.Limits)
	defer c.body.end()
	if err := c.body.buffer(terms.Once()); err != nil {
		return c.bodyProblem(outcome.NotRun, err)
	}
	c.fingerprint = h.poisonPrint(c)
	if until, refused := h.parts.Suspects.Refused(c.fingerprint, time.Now()); refused {
		return outcome.New(outcome.NotRun, outcome.Poison, "instances were lost while they ran this request; it is refused until "+until.UTC().Format(time.RFC3339))
	}
	if terms.Once() {
		return h.runOnce(c)
	}
	if terms.Finish() {
		c.clock.detach()
	}
	return h.tries(c, nil)
}

func (h *Handler) fail(c *call, problem *outcome.Problem) {
	c.decision.Problem, c.decision.Detail = string(problem.Reason()), problem.Detail()
	c.decision.Status = problem.Status()
	h.write(c, string(problem.Kind()))
	if c.sent {
		panic(http.ErrAbortHandler)
	}
	if c.body == nil && c.r.ContentLength != 0 {
		_ = c.control.SetReadDeadline(time.Now().Add(lingerLimit))
	}
	c.allowWrite()
	c.dialect.WriteProblem(c.w, ErrorResponse{Problem: problem, ID: c.id})
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
