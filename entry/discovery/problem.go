package discovery

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Reason is the machine-readable reason for rejecting a call. Its values are
// stable.
type Reason string

// Reasons for rejecting calls.
const (
	UnknownService Reason = "unknown-service"
	NotReady       Reason = "not-ready"
	NoEntryHost    Reason = "no-entry-host"
	Malformed      Reason = "malformed"
	TooLarge       Reason = "too-large"
	KeyRefused     Reason = "key-refused"
	NotFound       Reason = "not-found"
	WrongMethod    Reason = "wrong-method"
	OldIncarnation Reason = "old-incarnation"
)

var statusOf = map[Reason]int{
	UnknownService: http.StatusNotFound,
	NotReady:       http.StatusServiceUnavailable,
	NoEntryHost:    http.StatusServiceUnavailable,
	Malformed:      http.StatusBadRequest,
	TooLarge:       http.StatusRequestEntityTooLarge,
	KeyRefused:     http.StatusUnauthorized,
	NotFound:       http.StatusNotFound,
	WrongMethod:    http.StatusMethodNotAllowed,
	OldIncarnation: http.StatusConflict,
}

// retryAfterSeconds is the Retry-After value of calls that are rejected because
// this host or service is not ready.
const retryAfterSeconds = "1"

// Problem is the response body of a rejected call (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason Reason `json:"reason"`
}

// abort rejects a call with a Problem.
func abort(c *gin.Context, reason Reason, detail string) {
	status := statusOf[reason]
	if status == http.StatusServiceUnavailable {
		c.Header("Retry-After", retryAfterSeconds)
	}
	c.Header("Content-Type", "application/problem+json")
	c.AbortWithStatusJSON(status, Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Reason: reason,
	})
}
