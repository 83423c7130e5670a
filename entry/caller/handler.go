// Package caller handles requests from callers: it forwards each to an instance
// and streams the response back.
//
// Each request ends with exactly one outcome. A response is streamed as it is
// received, and the caller's connection is aborted if the response is truncated.
// "Not run" is reported only if no byte of the request was sent to an instance
// in any attempt, or if the instance guaranteed that it did not start. Every
// other outcome is unknown.
//
// Usage:
//
//	handler := caller.New(caller.Config{Table: table, Router: router, ...})
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
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
)

// Acquirer selects and reserves instances for attempts.
type Acquirer interface {
	Acquire(ctx context.Context, q route.Query) (*route.Ticket, error)
	// Try is Acquire without waiting; nil: no instance has spare capacity.
	Try(q route.Query) *route.Ticket
	// HedgeDelay returns how long to wait for a response before a hedge is sent,
	// 0 if unknown. target is the target latency of the rule, 0 for none.
	HedgeDelay(service string, target time.Duration) time.Duration
}

// RetryBudget limits how often the requests of a service are sent again.
type RetryBudget interface {
	// AllowRetry returns what a retry is charged to, empty if it is not allowed. It may
	// wait for a grant of the control hosts.
	AllowRetry(ctx context.Context, service string) route.Charge
	// AllowHedge is AllowRetry for a hedge, which comes after retries.
	AllowHedge(ctx context.Context, service string) route.Charge
}

// Reach learns from exchanges whether this host reaches instances at all.
type Reach interface {
	Contact()        // an instance responded
	SuspectLink()    // an instance did not respond on an open link
	SuspectConnect() // no link to an instance could be opened
	// Reaches reports whether this host reaches instances other than the one at the given
	// address, as far as it can tell. It may open connections to find out.
	Reaches(ctx context.Context, except string) bool
}

// Config holds the dependencies and settings of a handler.
type Config struct {
	Host      string // this host's name
	Zone      string
	Table     *rules.Table
	Router    Acquirer
	Pool      *upstream.Pool
	Claims    control.Claimer
	Settler   *control.Settler
	Suspects  *poison.Tracker
	Reach     Reach          // nil: none
	Relay     Relay          // nil: requests are never relayed
	RelayPool *upstream.Pool // links to other entry hosts, nil for the default
	PeerKeys  *key.Ring      // keys between hosts, nil for none
	Budget    RetryBudget    // nil: no limit
	Quota     Quota          // nil: organisations are not limited
	Backlog   *backlog.Tracker
	Decisions *decision.Log
	Stopping  *atomic.Bool
	Logger    hclog.Logger
	Limits    Limits
	Dialect   *Dialect // nil: snipebeam's own
}

// Limits bounds the resources of requests.
type Limits struct {
	BodyBytes       int64         // maximum size of a request body
	ResponseBytes   int64         // maximum size of a response body, 0 for no limit
	BufferBytes     int64         // maximum part of a body that is buffered for a retry and a fingerprint
	ProgressTimeout time.Duration // for a caller to send ProgressBytes, or to read the next part of a response
	InFlight        int           // requests in the handler, 0 for no limit
	ProgressBytes   int
}

// DefaultLimits returns the limits that apply if Config has none.
func DefaultLimits() Limits {
	return Limits{BodyBytes: 4 << 30, ResponseBytes: 4 << 30, BufferBytes: 64 << 10, ProgressTimeout: 30 * time.Second, ProgressBytes: 1 << 10}
}

// Handler is an http.Handler that serves callers.
type Handler struct {
	cfg      Config
	holder   string // of claims, unique to this process
	inFlight *inFlightLimiter
	shares   weightedRoundRobin
	timeouts callerTimeouts
	stop     *stop
	lookout  *lookout
}

// New returns a handler. Limits, Dialect, Logger, Suspects and Settler have
// defaults.
func New(cfg Config) *Handler {
	if cfg.Limits == (Limits{}) {
		cfg.Limits = DefaultLimits()
	}
	if cfg.Dialect == nil {
		cfg.Dialect = &native
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Suspects == nil {
		cfg.Suspects = poison.NewTracker()
	}
	if cfg.Reach == nil {
		cfg.Reach = unknownReach{}
	}
	if cfg.Relay == nil {
		cfg.Relay = noRelay{}
	}
	if cfg.RelayPool == nil {
		cfg.RelayPool = upstream.NewPool()
	}
	if cfg.PeerKeys == nil {
		cfg.PeerKeys = key.New()
	}
	if cfg.Settler == nil {
		cfg.Settler = control.NewSettler(cfg.Claims)
	}
	h := &Handler{cfg: cfg, holder: cfg.Host + "/" + uuid.NewString(), inFlight: newInFlightLimiter(cfg.Limits.InFlight), stop: newStop()}
	h.lookout = newLookout(h)
	return h
}

// unknownReach is a Reach that learns nothing.
type unknownReach struct{}

func (unknownReach) Contact()        {}
func (unknownReach) SuspectLink()    {}
func (unknownReach) SuspectConnect() {}

func (unknownReach) Reaches(context.Context, string) bool { return true }

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r, h.cfg.Limits, h.cfg.Dialect)
	defer h.recover(c)
	h.acceptRelayed(c)
	if problem := h.admit(c); problem != nil {
		h.fail(c, problem)
		return
	}
	defer h.inFlight.release(c.caller)
	defer c.giveBack()
	c.backlogEntry = h.cfg.Backlog.Track(c.service, time.Now())
	c.backlogEntry.SetID(c.id)
	failed := true
	defer func() { c.backlogEntry.End(failed, time.Now()) }()
	problem := h.run(c)
	failed = problem != nil
	if problem != nil {
		h.fail(c, problem)
	}
}

// recover ends a request whose handler panicked. http.ErrAbortHandler is
// re-raised for the server, which closes the caller's connection.
func (h *Handler) recover(c *call) {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	panics.Inc()
	h.cfg.Logger.Error("request handler panicked", "id", c.id, "service", c.service, "panic", value, "stack", string(debug.Stack()))
	kind := outcome.NotRun
	if c.dispatched || c.sent || c.exchanges > 0 {
		kind = outcome.Unknown
	}
	h.fail(c, outcome.New(kind, outcome.Internal, "the request could not be handled"))
}

// admit matches the request to its rule, makes the checks that need no body, and
// counts the request against the in-flight limit.
func (h *Handler) admit(c *call) *outcome.Problem {
	if h.stop.refusing.Load() {
		return outcome.New(outcome.NotRun, outcome.HostStopping, "this host takes no more requests")
	}
	if problem := h.refuseRelayed(c); problem != nil {
		return problem
	}
	if problem := h.match(c); problem != nil {
		return problem
	}
	if problem := refuseUnsupported(c.r); problem != nil {
		return problem
	}
	if problem := c.refuseUnidentified(); problem != nil {
		return problem
	}
	if limit := h.bodyLimit(c.rule.Contract()); c.r.ContentLength > limit {
		return outcome.New(outcome.NotRun, outcome.BodyTooLarge, "request body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if !h.inFlight.acquire(c.caller) {
		return outcome.New(outcome.NotRun, outcome.Overload, "in-flight limit of this host reached")
	}
	return nil
}

func (h *Handler) match(c *call) *outcome.Problem {
	inForce := h.cfg.Table.Current()
	c.version = inForce.Number()
	if !h.cfg.Table.Confirmed() {
		return outcome.New(outcome.NotRun, outcome.NotReady, "this host has not learned the rules in force yet")
	}
	c.rulesOutdated = time.Since(h.cfg.Table.ConfirmedAt()) > maxRulesAge
	c.named = c.service
	if host := rule.RequestHost(c.r); inForce.Set().HasHost(host) {
		c.named, c.service = host, "" // the rule names the service
	}
	found, problem := h.find(c, inForce.Set())
	if problem != nil {
		return problem
	}
	if c.organisation, problem = identify(c.r, c.dialect, inForce.Set(), found); problem != nil {
		return problem
	}
	c.keyed = len(inForce.Set().Organisations()) > 0
	c.rule, c.service = found, h.shares.pick(found)
	return nil
}

// find returns the rule of a request, by its host name if a rule has it and by
// its service otherwise.
func (h *Handler) find(c *call, set *rule.Set) (*rule.Rule, *outcome.Problem) {
	path := c.r.URL.EscapedPath()
	if host := rule.RequestHost(c.r); set.HasHost(host) {
		if found := set.MatchHost(host, path); found != nil {
			return found, nil
		}
		return nil, outcome.New(outcome.NotRun, outcome.NoRule, "no rule of "+host+" matches "+c.r.URL.Path)
	}
	service := serviceOf(c.r, c.dialect)
	if !set.HasService(service) {
		return nil, outcome.New(outcome.NotRun, outcome.UnknownService, "no rule names the service "+strconv.Quote(service))
	}
	if found := set.Match(service, c.r.Method, path, c.r.Header); found != nil {
		return found, nil
	}
	return nil, outcome.New(outcome.NotRun, outcome.NoRule, "no rule of "+service+" matches "+c.r.Method+" "+c.r.URL.Path)
}

// bodyLimit returns the limit on the size of a request's body.
func (h *Handler) bodyLimit(terms *contract.Contract) int64 {
	if limit := terms.MaxBody(); limit > 0 {
		return min(limit, h.cfg.Limits.BodyBytes)
	}
	return h.cfg.Limits.BodyBytes
}

// run handles an admitted request. It returns nil if a response was sent to the
// caller.
func (h *Handler) run(c *call) *outcome.Problem {
	terms := c.rule.Contract()
	c.ctx = newDeadlineContext(c.r, terms, c.dialect.Deadline, h.stop)
	defer c.ctx.stop()
	c.softDeadline = h.timeouts.softDeadline(c.rule, c.ctx.callerTimeout, time.Now())
	if terms.Once() && c.r.Header.Get(terms.OnceHeader()) == "" {
		return outcome.New(outcome.NotRun, outcome.KeyMissing, "the rule requires the header "+terms.OnceHeader())
	}
	c.body = newBody(c, h.bodyLimit(terms), h.cfg.Limits)
	defer c.body.end()
	if err := c.body.buffer(terms.Once()); err != nil {
		return c.bodyProblem(outcome.NotRun, err)
	}
	c.fingerprint = c.poisonFingerprint()
	if problem := h.refusePoison(c); problem != nil {
		return problem
	}
	if hosts := h.cfg.Relay.Hosts(); len(hosts) > 0 && h.mayRelay(c, nil) {
		return h.relay(c, hosts, nil)
	}
	if terms.Once() {
		return h.runAtMostOnce(c)
	}
	if terms.Finish() {
		c.ctx.detach()
	}
	return h.sendWithRetries(c, nil)
}

// refusePoison refuses a request that instances have failed on.
func (h *Handler) refusePoison(c *call) *outcome.Problem {
	until, refused := h.cfg.Suspects.Refused(c.fingerprint, time.Now())
	if !refused {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.Poison, "instances failed while running this request; it is refused until "+until.UTC().Format(time.RFC3339))
}

func (h *Handler) fail(c *call, problem *outcome.Problem) {
	c.decision.Problem, c.decision.Detail = string(problem.Reason()), problem.Detail()
	c.decision.Status = problem.Status()
	h.logDecision(c, string(problem.Kind()))
	if c.headerSent {
		panic(http.ErrAbortHandler)
	}
	if c.body == nil && c.r.ContentLength != 0 {
		_ = c.controller.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	h.closeIfStopping(c)
	c.extendWriteDeadline()
	if c.relayed {
		c.w.Header().Set(outcome.Header, string(problem.Kind()))
		c.w.Header().Set(outcome.ReasonHeader, string(problem.Reason()))
		c.w.Header().Set(RelayedAttemptsHeader, strconv.Itoa(c.ranAttempts))
	}
	c.dialect.WriteProblem(c.w, ErrorResponse{Problem: problem, ID: c.id, RetryAfter: c.retryAfter(problem)})
}

// closeIfStopping makes the server close the connection after the response if this
// host stops, also if it began to stop after the request had arrived.
func (h *Handler) closeIfStopping(c *call) {
	if h.cfg.Stopping.Load() {
		c.w.Header().Set("Connection", "close")
	}
}

func (h *Handler) logDecision(c *call, result string) {
	d := c.decision
	d.ID, d.Kind, d.At, d.Service, d.Caller = c.id, decision.Route, time.Now(), c.service, c.caller
	d.Method, d.Path, d.Version, d.Outcome = c.r.Method, c.r.URL.Path, c.version, result
	if c.rule != nil {
		d.Rule = c.rule.Place().String()
	}
	d.Host = h.cfg.Host
	h.cfg.Decisions.Write(&d)
}
