package caller

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Dialect is the set of headers by which callers and instances convey what
// plain HTTP does not. Its strings are header names; an empty name means that
// the dialect has no such header.
type Dialect struct {
	Service   string // request: the service
	Caller    string // request: the caller
	Deadline  string // request: time left, milliseconds
	Attempt   string // request: number of the attempt
	RequestID string // request: its ID, which responses repeat
	Instance  string // request to an instance: the ID of that instance

	InstanceID string // response to a probe: the ID of the instance that sends it

	Key          string // request: the key of the caller's organisation, not sent to instances
	Organisation string // request to an instance: the name of the caller's organisation

	// Refused reports whether a response guarantees that the instance did not
	// start the request.
	Refused func(status int, h http.Header) bool
	// Validate returns an error for a response that cannot be the whole response of an
	// instance; nil: any can.
	Validate func(status int, h http.Header) error
	// Promises reports whether callers take a status as a promise that the request has
	// not run; nil: none is.
	Promises func(status int) bool
	// Misdirected reports whether a response means that another instance uses the
	// address; nil: none does.
	Misdirected func(status int) bool
	// Load returns the instance's load if a response reports it.
	Load func(h http.Header) (LoadReport, bool)
	// RateLimit is the response header with the requests a second that the instance
	// accepts from all entry hosts together.
	RateLimit string
	// Warmup is the header of a response to a probe with the milliseconds for which the
	// instance stays cold.
	Warmup string
	// Leaving is the response header by which an instance states that it leaves and wants no
	// new requests.
	Leaving string
	// Outcomes adds this host's outcome headers to responses, and interprets those
	// of a layer below.
	Outcomes bool
	// CloseDelimited accepts responses that are delimited by the close of their
	// connection, and takes them as complete unless the connection was reset.
	CloseDelimited bool
	// WriteProblem writes an outcome other than an instance's response.
	WriteProblem func(w http.ResponseWriter, response ErrorResponse)
}

// LoadReport is the load that an instance reports.
type LoadReport struct {
	Requests int     // running and queued
	Slowdown float64 // current service time as a multiple of the usual one, 0 if not reported
}

// ErrorResponse is an outcome other than an instance's response, to be written
// to the caller.
type ErrorResponse struct {
	Problem    *outcome.Problem
	ID         string        // of the decision, or the request ID of the dialect
	RetryAfter time.Duration // 0: the default of the reason
}

// native is snipebeam's own dialect.
var native = Dialect{
	Service: ServiceHeader, Caller: CallerHeader, Deadline: DeadlineHeader, Attempt: AttemptHeader, RateLimit: RateLimitHeader, Leaving: LeavingHeader, Outcomes: true,
	Key: KeyHeader, Organisation: OrganisationHeader,
	Refused: func(_ int, h http.Header) bool { return h.Get(RefusedHeader) != "" },
	Load: func(h http.Header) (LoadReport, bool) {
		n, err := strconv.Atoi(h.Get(LoadHeader))
		return LoadReport{Requests: n}, err == nil && n >= 0
	},
	WriteProblem: func(w http.ResponseWriter, response ErrorResponse) { response.Problem.Write(w, response.ID) },
}

// header returns the value of a header, or "" if the dialect has no such header.
func header(h http.Header, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}

// setHeader sets a header if the dialect has it.
func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// Limit returns the rate limit that a response states, none if the header is missing
// or not a decimal number of at least 0.
func (d *Dialect) Limit(h http.Header) route.RateLimit {
	value := header(h, d.RateLimit)
	if value == "" {
		return route.RateLimit{}
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return route.RateLimit{}
	}
	return route.NewRateLimit(perSecond)
}

// WarmupLeft returns for how long an instance stays cold, as its response to a probe
// states it. A header that is missing or not a decimal number of at least 0 states nothing.
func (d *Dialect) WarmupLeft(h http.Header) route.Warmup {
	ms, err := strconv.ParseFloat(strings.TrimSpace(header(h, d.Warmup)), 64)
	if err != nil || math.IsNaN(ms) || math.IsInf(ms, 0) || ms < 0 {
		return route.Warmup{}
	}
	return route.NewWarmup(time.Duration(min(ms, float64(instance.MaxWarmup.Milliseconds())) * float64(time.Millisecond)))
}

// isLeaving reports whether a response states that its instance leaves.
func (d *Dialect) isLeaving(h http.Header) bool {
	value := strings.TrimSpace(header(h, d.Leaving))
	return value != "" && value != "0"
}

// breaksPromise reports whether the caller would take a response of an instance that may have
// run the request as a promise that it has not.
func (c *call) breaksPromise(status int) bool {
	return c.dialect.Promises != nil && c.dialect.Promises(status) && !c.repeatable()
}
