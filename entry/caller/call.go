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
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/rule"
)

var (
	panics  = metrics.GetOrCreateCounter("snipebeam_handler_panics_total")
	retries = metrics.GetOrCreateCounter("snipebeam_retries_total")
	cuts    = metrics.GetOrCreateCounter("snipebeam_answers_cut_total")
	refused = metrics.GetOrCreateCounter("snipebeam_door_refusals_total")
)

// call is one request on its way through the handler.
type call struct {
	id          string
	dialect     *Dialect
	service     string
	caller      string
	version     uint64
	rule        *rule.Rule
	stay        *backlog.Stay
	w           http.ResponseWriter
	control     *http.ResponseController
	r           *http.Request
	body        *body
	clock       *clock
	aim         time.Time // by which an answer is worth most, zero if not known
	progress    time.Duration
	layer       int // attempt that the layer above made, 1 for its first
	fingerprint poison.Fingerprint
	dispatched  bool // a byte may have gone to an instance that may have started
	sent        bool // the head of the answer went out
	gone        bool // the caller takes no more
	decision    decision.Decision
}

func newCall(w http.ResponseWriter, r *http.Request, limits Limits, speaks *Dialect) *call {
	return &call{
		id: idOf(r, speaks), dialect: speaks, service: serviceOf(r, speaks), caller: callerOf(r, speaks), w: w, control: http.NewResponseController(w), r: r,
		layer: layerOf(r, speaks), progress: limits.ProgressTimeout,
	}
}

// idBytes is the length of a decision's id.
const idBytes = 16

func newID() string {
	var raw [idBytes]byte
	for n := 0; n < idBytes; n += 8 {
		word := rand.Uint64()
		for k := range 8 {
			raw[n+k] = byte(word >> (8 * k))
		}
	}
	return hex.EncodeToString(raw[:])
}

// maxIDBytes bounds an identity that a caller gave.
const maxIDBytes = 128

// idOf returns the identity that the caller gave, or a new one.
func idOf(r *http.Request, speaks *Dialect) string {
	if id := header(r.Header, speaks.RequestID); id != "" && len(id) <= maxIDBytes {
		return id
	}
	return newID()
}

// allowWrite gives the caller time to take the next part of the answer. A
// connection without deadlines cannot be bounded.
func (c *call) allowWrite() { _ = c.control.SetWriteDeadline(time.Now().Add(c.progress)) }

// problem tells why the context of the call ended, or gives the other reason.
func (c *call) problem(kind outcome.Kind, reason outcome.Reason, detail string) *outcome.Problem {
	switch c.clock.cause() {
	case errDeadline:
		reason = outcome.DeadlineExceeded
	case errCallerGone:
		reason = outcome.CallerGone
	}
	return outcome.New(kind, reason, detail)
}

// serviceOf names the service that a request is for: by header, else by the
// first label of the host.
func serviceOf(r *http.Request, speaks *Dialect) string {
	if name := header(r.Header, speaks.Service); name != "" {
		return name
	}
	name, _, _ := strings.Cut(r.Host, ".")
	name, _, _ = strings.Cut(name, ":")
	return name
}

func callerOf(r *http.Request, speaks *Dialect) string {
	if name := header(r.Header, speaks.Caller); name != "" {
		return name
	}
	address, _, _ := net.SplitHostPort(r.RemoteAddr)
	return address
}

// layerOf returns the attempt of the layer above that the request is.
func layerOf(r *http.Request, speaks *Dialect) int {
	n, err := strconv.Atoi(header(r.Header, speaks.Attempt))
	if err != nil || n < 1 {
		return 1
	}
	return n
}
