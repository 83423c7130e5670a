package command

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/finding"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command failed
	ExitFindings = 2 // the rules file has errors
	ExitRefused  = 3 // the submission or change was refused
	ExitStale    = 4 // the answer may be out of date, or hosts were not heard
	ExitDiffers  = 5 // diff --exit-code or fmt --check found a difference
)

// RefusedError is the error of a change that was refused.
type RefusedError struct{ text string }

// Error returns why the change was refused and what to do next.
func (r *RefusedError) Error() string { return r.text }

// StaleError is the error of an answer that was shown but may be out of date.
type StaleError struct{ text string }

// Error returns why the answer may be out of date.
func (s *StaleError) Error() string { return s.text }

// DifferenceError is the error of a comparison that found a difference.
type DifferenceError struct{ text string }

// Error returns what differs.
func (d *DifferenceError) Error() string { return d.text }

// staleAnswer returns the error of an answer that no quorum confirmed.
func staleAnswer(asOf int64) error {
	age := time.Since(time.Unix(0, asOf)).Round(time.Millisecond)
	return &StaleError{text: fmt.Sprintf("no quorum of control hosts confirmed this; it is what one of them knew %s ago (see the members in \"snipebeam status\")", age)}
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var (
		findings *finding.Failure
		refusal  *RefusedError
		stale    *StaleError
		differs  *DifferenceError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &findings):
		return ExitFindings
	case errors.As(err, &refusal):
		return ExitRefused
	case errors.As(err, &stale):
		return ExitStale
	case errors.As(err, &differs):
		return ExitDiffers
	default:
		return ExitFailed
	}
}
