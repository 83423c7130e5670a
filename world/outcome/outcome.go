// Package outcome defines how a request ended, and writes an outcome other than
// a response of the upstream to the caller as a problem document.
//
// Usage:
//
//	outcome.New(outcome.NotRun, outcome.NoInstance, "no instance of catalogue is ready").Write(w, decisionID)
package outcome

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers that carry an outcome to a caller.
const (
	Header         = "Snipebeam-Outcome"
	ReasonHeader   = "Snipebeam-Reason"
	DecisionHeader = "Snipebeam-Decision"
)

// Kind is the outcome of a request. Each request has exactly one.
type Kind string

// Outcomes. NotRun is reported only if no byte was sent to an upstream, or if
// the upstream rejected the request before executing it. Unknown means that the
// upstream may have executed the request.
const (
	Answer  Kind = "answer"
	NotRun  Kind = "not-run"
	Unknown Kind = "unknown"
)

// Reason is the stable, machine-readable cause of an outcome.
type Reason string

// Reasons of outcomes other than an answer.
const (
	UnknownService   Reason = "unknown-service"
	NoRule           Reason = "no-rule"
	NoInstance       Reason = "no-instance"
	NotReady         Reason = "not-ready"
	HostStopping     Reason = "host-stopping"
	Overload         Reason = "overload"
	CallerLimit      Reason = "caller-limit"
	DeadlineExceeded Reason = "deadline-exceeded"
	KeyMissing       Reason = "key-missing"
	KeyReused        Reason = "key-reused"
	ClaimUnavailable Reason = "claim-unavailable"
	ClaimHeld        Reason = "claim-held"
	AnswerTooLarge   Reason = "answer-too-large-to-store"
	Poison           Reason = "poison"
	UpstreamLost     Reason = "upstream-lost"
	UpstreamRefused  Reason = "upstream-refused"
	BodyTooLarge     Reason = "body-too-large"
	Malformed        Reason = "malformed"
	UpgradeRefused   Reason = "upgrade-refused"
	CallerGone       Reason = "caller-gone"
	BodyCut          Reason = "body-cut"
	AnswerLost       Reason = "answer-lost"
	KeyUnknown       Reason = "key-unknown"
	OrganisationRate Reason = "organisation-rate"
	Internal         Reason = "internal"
)

type reasonProperties struct {
	status     int
	retryAfter time.Duration // zero if a retry is not advised
}

var properties = map[Reason]reasonProperties{
	UnknownService:   {http.StatusNotFound, 0},
	NoRule:           {http.StatusNotFound, 0},
	NoInstance:       {http.StatusServiceUnavailable, time.Second},
	NotReady:         {http.StatusServiceUnavailable, time.Second},
	HostStopping:     {http.StatusServiceUnavailable, time.Second},
	Overload:         {http.StatusServiceUnavailable, time.Second},
	CallerLimit:      {http.StatusTooManyRequests, time.Second},
	DeadlineExceeded: {http.StatusGatewayTimeout, 0},
	KeyMissing:       {http.StatusBadRequest, 0},
	KeyReused:        {http.StatusUnprocessableEntity, 0},
	ClaimUnavailable: {http.StatusServiceUnavailable, time.Second},
	ClaimHeld:        {http.StatusConflict, time.Second},
	AnswerTooLarge:   {http.StatusConflict, 0},
	Poison:           {http.StatusForbidden, 0},
	UpstreamLost:     {http.StatusBadGateway, 0},
	UpstreamRefused:  {http.StatusServiceUnavailable, time.Second},
	BodyTooLarge:     {http.StatusRequestEntityTooLarge, 0},
	Malformed:        {http.StatusBadRequest, 0},
	UpgradeRefused:   {http.StatusNotImplemented, 0},
	CallerGone:       {499, 0}, // status that nginx uses for a request closed by the client
	BodyCut:          {http.StatusBadRequest, 0},
	AnswerLost:       {http.StatusConflict, 0},
	KeyUnknown:       {http.StatusUnauthorized, 0},
	OrganisationRate: {http.StatusTooManyRequests, time.Second},
	Internal:         {http.StatusInternalServerError, 0},
}

// Problem is an outcome other than an answer. It is an error, and is sent to
// callers as a problem document (RFC 9457).
type Problem struct {
	kind       Kind
	reason     Reason
	detail     string
	retryAfter time.Duration // 0: the default of the reason
}

// New returns a problem. The detail is an explanation for people.
func New(kind Kind, reason Reason, detail string) *Problem {
	return &Problem{kind: kind, reason: reason, detail: detail}
}

// WithRetryAfter returns the problem with the time after which the request can be served,
// 0 for the default of the reason.
func (p *Problem) WithRetryAfter(wait time.Duration) *Problem {
	q := *p
	q.retryAfter = wait
	return &q
}

// RetryAfter returns the time after which the request can be served, 0 for the default of
// the reason.
func (p *Problem) RetryAfter() time.Duration { return p.retryAfter }

// Kind returns the outcome.
func (p *Problem) Kind() Kind { return p.kind }

// Reason returns the machine-readable reason.
func (p *Problem) Reason() Reason { return p.reason }

// Detail returns the explanation for people.
func (p *Problem) Detail() string { return p.detail }

// Status returns the HTTP status for the reason.
func (p *Problem) Status() int { return properties[p.reason].status }

// Error returns the outcome, reason and detail.
func (p *Problem) Error() string { return string(p.kind) + ": " + string(p.reason) + ": " + p.detail }

type problemBody struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	Outcome  Kind   `json:"outcome"`
	Reason   Reason `json:"reason"`
	Decision string `json:"decision,omitempty"`
}

// Write sends the problem as the response. Retry-After is sent only if the
// request was not executed and the reason advises a retry.
func (p *Problem) Write(w http.ResponseWriter, decisionID string) {
	props := properties[p.reason]
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(Header, string(p.kind))
	h.Set(ReasonHeader, string(p.reason))
	h.Set(DecisionHeader, decisionID)
	if wait := max(props.retryAfter, p.retryAfter); props.retryAfter > 0 && p.kind == NotRun {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.WriteHeader(props.status)
	body := problemBody{
		Type: "about:blank", Title: http.StatusText(props.status), Status: props.status,
		Detail: p.detail, Outcome: p.kind, Reason: p.reason, Decision: decisionID,
	}
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
