package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Headers between entry hosts. They are removed before a request goes to an instance.
const (
	// RelayedForHeader holds the caller of a request that another entry host relays.
	RelayedForHeader = "Snipebeam-Relayed-For"
	// RelayKeyHeader holds the key between hosts, without which the caller is not
	// taken from RelayedForHeader.
	RelayKeyHeader = "Snipebeam-Relay-Key"
	// RelayedAttemptsHeader holds the number of instances that may have run the request: before it
	// is relayed, and in an outcome those at the host that it was relayed to.
	RelayedAttemptsHeader = "Snipebeam-Relayed-Attempts"
	// RelayedCountedHeader says that another entry host has counted the request for the
	// retry budget.
	RelayedCountedHeader = "Snipebeam-Relayed-Counted"
	// RelayedVersionHeader holds the number of the version of the rules by which the other
	// entry host admitted the request. Hosts of earlier builds ignore it.
	RelayedVersionHeader = "Snipebeam-Relayed-Version"
)

// maxRelays bounds the entry hosts to which an isolated host relays a request one after
// another. A host that reaches other instances tries one, and another for each that has
// applied an older version of the rules.
const maxRelays = 3

var (
	relayed         = metrics.GetOrCreateCounter("snipebeam_requests_relayed_total")
	relaysFailed    = metrics.GetOrCreateCounter("snipebeam_relays_failed_total")
	relayedOutdated = metrics.GetOrCreateCounter("snipebeam_relayed_requests_refused_outdated_total")
	servedForPeer   = metrics.GetOrCreateCounter("snipebeam_requests_for_other_hosts_total")
)

// Relay tells whether requests must be handed to other entry hosts, and to which.
type Relay interface {
	// Isolated reports whether this host reaches no instance.
	Isolated() bool
	// Hosts returns the addresses at which other entry hosts take callers, in the order
	// in which they are tried.
	Hosts() []string
	// Began records that a request is relayed to a host, until the returned function is
	// called. usable reports whether the host may be able to serve another one.
	Began(address string) (ended func(usable bool))
}

// noRelay relays nothing.
type noRelay struct{}

func (noRelay) Isolated() bool          { return false }
func (noRelay) Hosts() []string         { return nil }
func (noRelay) Began(string) func(bool) { return func(bool) {} }

// acceptRelayed takes the caller from a request that another entry host relays.
func (h *Handler) acceptRelayed(c *call) {
	origin, token := c.r.Header.Get(RelayedForHeader), c.r.Header.Get(RelayKeyHeader)
	c.r.Header.Del(RelayedForHeader)
	c.r.Header.Del(RelayKeyHeader)
	attempts, err := strconv.Atoi(c.r.Header.Get(RelayedAttemptsHeader))
	c.r.Header.Del(RelayedAttemptsHeader)
	counted := c.r.Header.Get(RelayedCountedHeader) != ""
	c.r.Header.Del(RelayedCountedHeader)
	// A number out of range counts as the largest one, and a value that is no number as none.
	c.leastVersion, _ = strconv.ParseUint(c.r.Header.Get(RelayedVersionHeader), 10, 64)
	c.r.Header.Del(RelayedVersionHeader)
	if origin == "" || !h.cfg.PeerKeys.AcceptsToken(token) {
		return
	}
	servedForPeer.Inc()
	c.relayed, c.caller, c.counted = true, origin, counted
	if err == nil && attempts > 0 {
		c.priorAttempts = attempts
	}
}

// refuseRelayed refuses a request of another host that this host cannot serve either, or that
// it would serve by an older version of the rules. The version counts without the key between
// hosts too, since it can only lead to a refusal.
func (h *Handler) refuseRelayed(c *call) *outcome.Problem {
	if number := h.cfg.Table.Current().Number(); c.leastVersion > number {
		relayedOutdated.Inc()
		return outcome.New(outcome.NotRun, outcome.NotReady, fmt.Sprintf("this host has applied version %d of the rules, and the request was admitted by %d", number, c.leastVersion))
	}
	if c.relayed && h.cfg.Relay.Isolated() {
		return outcome.New(outcome.NotRun, outcome.NoInstance, "this host reaches no instance")
	}
	return nil
}

// mayRelay reports whether a request may be sent to another entry host after the given
// problem, nil for none.
func (h *Handler) mayRelay(c *call, last *result) bool {
	if c.relayed || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if last == nil {
		return h.cfg.Relay.Isolated()
	}
	if last.final || c.rule.Contract().Once() { // this host holds the claim
		return false
	}
	if last.problem.Kind() == outcome.NotRun {
		if last.problem.Reason() != outcome.UpstreamLost && !(last.problem.Reason() == outcome.NoInstance && h.cfg.Relay.Isolated()) {
			return false
		}
		return h.allowRepeat(c, decision.Relay)
	}
	maxAttempts := c.rule.Contract().Attempts()
	return h.cfg.Relay.Isolated() && c.repeatable() && (maxAttempts == 0 || c.ranAttempts < maxAttempts) && h.allowRepeat(c, decision.Relay)
}

// allowRepeat reports whether the request may be sent again, and records it. The budget is
// not charged if no earlier send can have reached an instance.
func (h *Handler) allowRepeat(c *call, way decision.Way) bool {
	charge := route.Uncharged
	if c.sent && h.cfg.Budget != nil {
		charge = h.cfg.Budget.AllowRetry(c.ctx, c.service)
	}
	if charge == "" {
		return false
	}
	c.addRepeat(way, charge)
	return true
}

// relay sends the request to other entry hosts until one responds. It returns last if
// there are none.
func (h *Handler) relay(c *call, hosts []string, last *outcome.Problem) *outcome.Problem {
	most := 1
	if h.cfg.Relay.Isolated() {
		most = maxRelays
	}
	for n, address := range hosts[:min(len(hosts), maxRelays)] {
		if n >= most || n > 0 && !h.mayRelayAgain(c) {
			break
		}
		problem, next := h.relayTo(c, address)
		if problem == nil {
			return nil
		}
		if problem.Kind() == outcome.NotRun && problem.Reason() == outcome.NotReady {
			most++
		}
		last = problem
		c.dispatched = c.dispatched || problem.Kind() == outcome.Unknown
		if !next || problem.Kind() == outcome.Unknown && !c.repeatable() {
			break
		}
	}
	return c.overall(last)
}

// mayRelayAgain reports whether the request may be sent to another entry host after one that it was
// relayed to.
func (h *Handler) mayRelayAgain(c *call) bool {
	if c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if maxAttempts := c.rule.Contract().Attempts(); maxAttempts > 0 && c.ranAttempts >= maxAttempts {
		return false
	}
	return h.allowRepeat(c, decision.Relay)
}

// relayTo sends the request to one entry host and forwards its response. next reports
// whether another host may do better.
func (h *Handler) relayTo(c *call, address string) (problem *outcome.Problem, next bool) {
	relayed.Inc()
	target := instance.New(instance.ID("host "+address), c.service, address)
	c.backlogEntry.Dispatched(target.ID(), time.Now())
	c.decision.Reason = "relayed to " + address
	usable, ended := true, h.cfg.Relay.Began(address)
	defer func() { ended(usable) }()
	c.exchanges++
	exchange, err := h.cfg.RelayPool.Send(c.ctx, address, h.relayRequest(c), h.relayOptions(c)...)
	c.counted = true
	if err != nil {
		relaysFailed.Inc()
		usable = c.ctx.Err() != nil
		var failure *upstream.Failure
		c.sent = c.sent || !errors.As(err, &failure) || failure.Wrote()
		c.exchanges--
		problem := c.relayProblem(address, err)
		c.countRelayed(problem.Kind(), "")
		return problem, true
	}
	defer exchange.Close()
	header := exchange.Response().Header
	reason := outcome.Reason(header.Get(outcome.ReasonHeader))
	switch kind := outcome.Kind(header.Get(outcome.Header)); kind {
	case outcome.NotRun, outcome.Unknown:
		relaysFailed.Inc()
		usable = reason != outcome.NoInstance && reason != outcome.HostStopping && reason != outcome.NotReady
		c.sent = c.sent || kind == outcome.Unknown || reason == outcome.UpstreamRefused || reason == outcome.UpstreamLost
		c.exchanges--
		c.countRelayed(kind, header.Get(RelayedAttemptsHeader))
		c.quotaRetryAfter = relayedRetryAfter(header)
		return c.problem(kind, reason, "as entry host "+address+" reports"), reason != outcome.Overload && reason != outcome.DeadlineExceeded && reason != outcome.OrganisationRate
	case outcome.Answer:
	}
	c.backlogEntry.ResponseStarted(time.Now())
	d := &dispatch{h: h, c: c, target: target}
	return d.forward(exchange), false
}

// countRelayed counts the instances that may have run the request at the host that it was relayed
// to: those that the host states, and one at least if it may have run.
func (c *call) countRelayed(kind outcome.Kind, stated string) {
	if kind != outcome.Unknown {
		return
	}
	n, _ := strconv.Atoi(stated) // a host of an earlier build states none
	c.ranAttempts += max(n, 1)
}

// relayProblem returns the outcome of an exchange with an entry host without a response.
func (c *call) relayProblem(address string, err error) *outcome.Problem {
	kind := outcome.Unknown
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		if !failure.Wrote() {
			kind = outcome.NotRun
		}
		if failure.Cause() == upstream.Body {
			return c.bodyProblem(kind, failure.Unwrap())
		}
	}
	return c.problem(kind, outcome.UpstreamLost, "entry host "+address+": "+err.Error())
}

func (h *Handler) relayOptions(c *call) []upstream.SendOption {
	opts := append(c.responseOptions(), upstream.WithInterimHandler(c.forwardInterim), upstream.WithCheck(func() bool { return !c.leftUnnoticed() }))
	if !c.repeatable() {
		opts = append(opts, upstream.WithMaxIdle(maxIdleUnrepeatable))
	}
	return opts
}

// relayRequest returns the request to send to another entry host.
func (h *Handler) relayRequest(c *call) *http.Request {
	out := c.outgoing(1, "")
	out.Header.Del(c.dialect.Instance)
	setHeader(out.Header, c.dialect.Attempt, strconv.Itoa(c.incomingAttempt))
	c.keepKey(out.Header)
	out.Header.Set(RelayedForHeader, c.caller)
	out.Header.Set(RelayedVersionHeader, strconv.FormatUint(c.version, 10))
	if c.callerName == "" {
		out.Header.Del(c.dialect.Caller)
	}
	if c.counted {
		out.Header.Set(RelayedCountedHeader, "1")
	}
	if c.ranAttempts > 0 {
		out.Header.Set(RelayedAttemptsHeader, strconv.Itoa(c.ranAttempts))
	}
	if token := h.cfg.PeerKeys.Token(); token != "" {
		out.Header.Set(RelayKeyHeader, token)
	}
	return out
}
