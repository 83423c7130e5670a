package caller

import (
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/quota"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
)

var (
	panics             = metrics.GetOrCreateCounter("snipebeam_handler_panics_total")
	retries            = metrics.GetOrCreateCounter("snipebeam_retries_total")
	truncatedResponses = metrics.GetOrCreateCounter("snipebeam_answers_cut_total")
	inFlightRefusals   = metrics.GetOrCreateCounter("snipebeam_door_refusals_total")
)

// call is one request in the handler.
type call struct {
	id              string
	dialect         *Dialect
	service         string
	caller          string
	version         uint64
	rule            *rule.Rule
	organisation    *contract.Organisation // that holds the caller's key, nil for none
	keyed           bool                   // the rules in force hold organisations
	token           *quota.Token           // charged to the organisation, nil for none
	quotaRetryAfter time.Duration          // after which the organisation may get a token, 0 if unknown
	rulesOutdated   bool                   // on arrival, a newer version may have been in force elsewhere for maxRulesAge
	backlogEntry    *backlog.Request       // tracks the request in the backlog
	w               http.ResponseWriter
	controller      *http.ResponseController
	r               *http.Request
	body            *body
	ctx             *deadlineContext
	responseBytes   int64     // limit of the response body, 0 for none
	softDeadline    time.Time // by which the response should arrive, zero for none
	progressTimeout time.Duration
	relayed         bool   // by another entry host
	incomingAttempt int    // number of the attempt by the layer above, 1 for the first
	ranAttempts     int    // attempts at instances that may have run it
	priorAttempts   int    // the same, of the host that relays it
	leastVersion    uint64 // of the rules that may apply, 0 for any
	named           string // service or host name in the request
	callerName      string // that the caller stated, empty if it is known by its address only
	fingerprint     poison.Fingerprint
	dispatched      bool        // a byte may have reached an instance that may have started
	sent            bool        // a byte may have reached an instance
	exchanges       int         // begun, and not known yet whether a byte was sent
	counted         bool        // for the retry budget, at this host or at the one that relays it
	staleAt         instance.ID // that had closed an idle link, empty for none
	headerSent      bool        // of the response, to the caller
	callerGone      bool        // a write to the caller failed
	callerLeft      bool        // and not only because its deadline has passed
	decision        decision.Decision
}

func newCall(w http.ResponseWriter, r *http.Request, limits Limits, dialect *Dialect) *call {
	return &call{
		id: idOf(r, dialect), dialect: dialect, service: serviceOf(r, dialect), caller: callerOf(r, dialect), callerName: header(r.Header, dialect.Caller), w: w, controller: http.NewResponseController(w), r: r,
		incomingAttempt: incomingAttemptOf(r, dialect), progressTimeout: limits.ProgressTimeout, responseBytes: limits.ResponseBytes,
	}
}

// idBytes is the length of a generated decision ID before encoding.
const idBytes = 16

func newID() string {
	var raw [idBytes]byte
	for n := 0; n < idBytes; n += 8 {
		random := rand.Uint64()
		for k := range 8 {
			raw[n+k] = byte(random >> (8 * k))
		}
	}
	return hex.EncodeToString(raw[:])
}

// maxIDBytes bounds a request ID that the caller sent.
const maxIDBytes = 128

// idOf returns the request ID that the caller sent, or a new one.
func idOf(r *http.Request, dialect *Dialect) string {
	if id := header(r.Header, dialect.RequestID); id != "" && len(id) <= maxIDBytes {
		return id
	}
	return newID()
}

// refuseUnidentified refuses a request without the one ID by which its response is told from others.
func (c *call) refuseUnidentified() *outcome.Problem {
	name := c.dialect.RequestID
	if ids := c.r.Header.Values(name); name == "" || len(ids) == 1 && ids[0] != "" {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.Malformed, "the request must have the header "+name+" once")
}

// addRepeat records that the request is sent again.
func (c *call) addRepeat(way decision.Way, charge route.Charge) {
	c.decision.Repeats = append(c.decision.Repeats, decision.Repeat{Way: way, Charge: string(charge)})
}

// leftUnnoticed reports whether the caller has closed its connection, which the server notices in
// a goroutine of its own and maybe later, and ends the call if so. A request that outlives its
// caller does not end.
func (c *call) leftUnnoticed() bool {
	conn := link.ConnOf(c.r)
	if conn == nil || c.ctx.detached || !link.ClosedByPeer(conn) {
		return false
	}
	c.ctx.cancel(errCallerGone)
	return true
}

// extendWriteDeadline gives the caller progressTimeout to read the next part of
// the response. It has no effect on a connection without write deadlines.
func (c *call) extendWriteDeadline() {
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.progressTimeout))
}

// extendWriteDeadlineUpTo is extendWriteDeadline up to a deadline, zero for none.
func (c *call) extendWriteDeadlineUpTo(deadline time.Time) {
	at := time.Now().Add(c.progressTimeout)
	if !deadline.IsZero() && deadline.Before(at) {
		at = deadline
	}
	_ = c.controller.SetWriteDeadline(at)
}

// problem returns an outcome. If the context of the call has ended, its cause
// replaces the given reason.
func (c *call) problem(kind outcome.Kind, reason outcome.Reason, detail string) *outcome.Problem {
	switch c.ctx.cause() {
	case errDeadline:
		reason = outcome.DeadlineExceeded
	case errCallerGone:
		reason = outcome.CallerGone
	case errHostStopping:
		if kind == outcome.NotRun {
			reason = outcome.HostStopping
		}
		detail = "this host stopped before the response; " + detail
	}
	return outcome.New(kind, reason, detail)
}

// stoppingRetryAfter is short because another host can take the request at once.
const stoppingRetryAfter = 10 * time.Millisecond

// retryAfter returns the time after which the caller should try again, 0 for the
// default of the reason.
func (c *call) retryAfter(problem *outcome.Problem) time.Duration {
	switch problem.Reason() {
	case outcome.HostStopping:
		return stoppingRetryAfter
	case outcome.OrganisationRate, outcome.NotReady:
		return c.quotaRetryAfter
	}
	return problem.RetryAfter()
}

// serviceOf returns the service that a request names by header, else by the
// first label of its host.
func serviceOf(r *http.Request, dialect *Dialect) string {
	if name := header(r.Header, dialect.Service); name != "" {
		return name
	}
	name, _, _ := strings.Cut(r.Host, ".")
	name, _, _ = strings.Cut(name, ":")
	return name
}

func callerOf(r *http.Request, dialect *Dialect) string {
	if name := header(r.Header, dialect.Caller); name != "" {
		return name
	}
	address, _, _ := net.SplitHostPort(r.RemoteAddr)
	return address
}

// incomingAttemptOf returns the attempt number that the layer above sent, 1 if
// it sent none.
func incomingAttemptOf(r *http.Request, dialect *Dialect) int {
	n, err := strconv.Atoi(header(r.Header, dialect.Attempt))
	if err != nil || n < 1 {
		return 1
	}
	return n
}
