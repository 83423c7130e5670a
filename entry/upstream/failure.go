package upstream

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Cause says why an exchange gave no answer.
type Cause string

// Causes of failures.
const (
	Unopened  Cause = "unopened"  // no link could be opened
	Full      Cause = "full"      // no link came free in time
	Closed    Cause = "closed"    // the instance closed or reset the link
	Stale     Cause = "stale"     // as Closed, on a link that was kept idle, before a byte of the answer
	Silent    Cause = "silent"    // nothing was heard or taken within the bound
	Body      Cause = "body"      // the request's body could not be read
	Malformed Cause = "malformed" // what came is no whole answer
	Cancelled Cause = "cancelled" // the context ended
)

// Failure is an exchange that gave no answer.
type Failure struct {
	cause   Cause
	err     error
	wrote   bool
	address string
}

// Error returns the cause.
func (f *Failure) Error() string { return string(f.cause) + ": " + f.err.Error() }

// Unwrap returns the error below.
func (f *Failure) Unwrap() error { return f.err }

// Cause returns what kind of failure it is.
func (f *Failure) Cause() Cause { return f.cause }

// Wrote reports whether any byte of the request was written to the instance.
func (f *Failure) Wrote() bool { return f.wrote }

// bodyError is an error of the request's body, not of the link.
type bodyError struct{ error }

// Unwrap returns the error of the body's reader.
func (e bodyError) Unwrap() error { return e.error }

// errProgress is given for a link that took or sent nothing within its bound.
var errProgress = errors.New("no progress on the link")

// causeOf classifies an error of a link.
func causeOf(err error) Cause {
	var timeout net.Error
	var body bodyError
	switch {
	case errors.As(err, &body):
		return Body
	case errors.Is(err, errHeadTooLarge), errors.Is(err, errUnframed), errors.Is(err, errInform), errors.Is(err, errStray):
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
