package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/snipebeam/snipebeam/world/outcome"
)

// Dialect is how callers and instances say, in headers, what HTTP itself does
// not say. An empty name means that nothing is said.
type Dialect struct {
	Service   string // request: the service
	Caller    string // request: who calls
	Deadline  string // request: time left, milliseconds
	Attempt   string // request: which attempt it is
	RequestID string // request: its identity, which answers repeat
	Instance  string // request to an instance: the one that it is for

	// Refused reports whether an answer promises that the instance did not
	// start.
	Refused func(status int, h http.Header) bool
	// Misdirected reports whether an answer says that another instance uses the
	// address; nil: none does.
	Misdirected func(status int) bool
	// Load returns what an answer tells of the instance's load.
	Load func(h http.Header) (LoadReport, bool)
	// Outcomes adds this host's own outcome headers to answers, and reads those
	// of a layer below.
	Outcomes bool
	// CloseDelimited passes on answers that end with their link, as whole unless the
	// link was reset.
	CloseDelimited bool
	// WriteProblem writes an outcome other than an answer.
	WriteProblem func(w http.ResponseWriter, refusal ErrorResponse)
}

// LoadReport is what an instance says of its load.
type LoadReport struct {
	Requests int     // in slots and waiting
	Speed    float64 // time that work takes now, as a multiple of the usual; 0 if not told
}

// ErrorResponse is an outcome other than an answer, as a caller is told.
type ErrorResponse struct {
	Problem    *outcome.Problem
	ID         string        // of the decision, or the request's identity in the dialect
	RetryAfter time.Duration // 0: the reason's own advice
}

// native is the dialect of snipebeam's own interface.
var native = Dialect{
	Service: ServiceHeader, Caller: CallerHeader, Deadline: DeadlineHeader, Attempt: AttemptHeader, Outcomes: true,
	Refused: func(_ int, h http.Header) bool { return h.Get(RefusedHeader) != "" },
	Load: func(h http.Header) (LoadReport, bool) {
		n, err := strconv.Atoi(h.Get(LoadHeader))
		return LoadReport{Requests: n}, err == nil && n >= 0
	},
	WriteProblem: func(w http.ResponseWriter, refusal ErrorResponse) { refusal.Problem.Write(w, refusal.ID) },
}

// header returns the value of a header that the dialect may not have.
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
