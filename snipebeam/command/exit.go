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
	ExitStale    = 4 // the output may be out of date, or hosts did not respond
	ExitDiffers  = 5 // diff --exit-code or fmt --check found a difference
)

// RefusedError is the error of a submission or change that was refused.
type RefusedError struct{ text string }

// Error returns why the change was refused and what to do next.
func (r *RefusedError) Error() string { return r.text }

// StaleError is the error of a command whose output may be out of date or
// incomplete.
type StaleError struct{ text string }

// Error returns why the output may be out of date or incomplete.
func (s *StaleError) Error() string { return s.text }

// DifferenceError is the error of a comparison that found a difference.
type DifferenceError struct{ text string }

// Error returns what differs.
func (d *DifferenceError) Error() string { return d.text }

// newStaleError returns the error of a response that no quorum confirmed.
func newStaleError(asOf int64) error {
	age := time.Since(time.Unix(0, asOf)).Round(time.Millisecond)
	return &StaleError{text: fmt.Sprintf("no quorum of control hosts confirmed this; it is the state that one of them had %s ago (see the members in \"snipebeam status\")", age)}
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var (
		findings *finding.Failure
		refused  *RefusedError
		stale    *StaleError
		differs  *DifferenceError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &findings):
		return ExitFindings
	case errors.As(err, &refused):
		return ExitRefused
	case errors.As(err, &stale):
		return ExitStale
	case errors.As(err, &differs):
		return ExitDiffers
	default:
		return ExitFailed
	}
}
