package discovery

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Reason says why a call was refused. It is machine-readable and stable.
type Reason string

// Reasons of refused calls.
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

// retryAfterSeconds is advised to callers that came too early.
const retryAfterSeconds = "1"

// Problem is the body of a refused call (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason Reason `json:"reason"`
}

// abort ends a call with a problem.
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
