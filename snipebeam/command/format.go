package command

import (
	"fmt"
	"time"
)

// Roles and states of hosts, as in their reports.
const (
	roleEntry     = "entry"
	stateSilent   = "silent"
	stateDraining = "draining"
)

// formatTime formats a time of a wire message; the result is empty if it is
// not set.
func formatTime(unixNanoseconds int64) string {
	if unixNanoseconds <= 0 {
		return ""
	}
	return time.Unix(0, unixNanoseconds).Format(time.RFC3339)
}

// formatAge formats the time that has passed since a time of a wire message.
func formatAge(unixNanoseconds int64) string {
	if unixNanoseconds <= 0 {
		return "never"
	}
	return time.Since(time.Unix(0, unixNanoseconds)).Round(100 * time.Millisecond).String()
}

func formatMilliseconds(ms float64) string {
	if ms < 0 {
		return "-"
	}
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

func formatReason(reason string) string {
	if reason == "" {
		return "no reason given"
	}
	return reason
}

func formatNonZero(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

// formatCount formats a count, as a lower bound if some hosts did not respond.
func formatCount(n uint32, lowerBound bool) string {
	if lowerBound {
		return fmt.Sprintf("at least %d", n)
	}
	return fmt.Sprint(n)
}
