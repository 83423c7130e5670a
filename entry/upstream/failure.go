package upstream

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Cause classifies why an exchange produced no response.
type Cause string

// Causes of failures.
const (
	Unopened  Cause = "unopened"  // no link could be opened
	Full      Cause = "full"      // the link limit was reached and no link became free in time
	Closed    Cause = "closed"    // the instance closed or reset the link
	Stale     Cause = "stale"     // as Closed, on a reused link before the first byte of the response
	Silent    Cause = "silent"    // the peer was silent or made no progress within the limit
	Body      Cause = "body"      // reading the request body failed
	Malformed Cause = "malformed" // the response is invalid or incomplete
	Cancelled Cause = "cancelled" // the context was done
	Withdrawn Cause = "withdrawn" // the instance is no longer to be used
)

// Failure is the error of an exchange that produced no response.
type Failure struct {
	cause   Cause
	err     error
	wrote   bool
	address string
}

// Error returns the cause and the underlying error.
func (f *Failure) Error() string { return string(f.cause) + ": " + f.err.Error() }

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.err }

// Cause returns the class of the failure.
func (f *Failure) Cause() Cause { return f.cause }

// Wrote reports whether any byte of the request was written to the instance.
func (f *Failure) Wrote() bool { return f.wrote }

// bodyError is an error from reading the request body rather than from the link.
type bodyError struct{ error }

// Unwrap returns the error of the body reader.
func (e bodyError) Unwrap() error { return e.error }

// errProgress means that a link transferred no bytes within its limit.
var errProgress = errors.New("no progress on the link")

// causeOf maps an error of an exchange to its cause.
func causeOf(err error) Cause {
	var timeout net.Error
	var body bodyError
	switch {
	case errors.As(err, &body):
		return Body
	case errors.Is(err, errHeaderTooLarge), errors.Is(err, errCloseDelimited), errors.Is(err, errInterim), errors.Is(err, errStatus), errors.Is(err, errMismatched), errors.Is(err, errUnidentified):
		return Malformed
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, errProgress):
		return Silent
	case errors.As(err, &timeout) && timeout.Timeout():
		return Silent
	case isClosed(err):
		return Closed
	default:
		return Malformed
	}
}
