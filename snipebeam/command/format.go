package command

import (
	"fmt"
	"time"
)

// Roles and states of hosts, as they report them.
const (
	roleEntry     = "entry"
	stateSilent   = "silent"
	stateDraining = "draining"
)

// when formats a time of a message, empty for none.
func when(unixNanoseconds int64) string {
	if unixNanoseconds <= 0 {
		return ""
	}
	return time.Unix(0, unixNanoseconds).Format(time.RFC3339)
}

// age formats the time since a time of a message.
func age(unixNanoseconds int64) string {
	if unixNanoseconds <= 0 {
		return "never"
	}
	return time.Since(time.Unix(0, unixNanoseconds)).Round(100 * time.Millisecond).String()
}

func milliseconds(ms float64) string {
	if ms < 0 {
		return "-"
	}
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

func reasonOf(reason string) string {
	if reason == "" {
		return "no reason given"
	}
	return reason
}

func orBlank(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

// atLeast formats a count that unheard hosts may add to.
func atLeast(n uint32, least bool) string {
	if least {
		return fmt.Sprintf("at least %d", n)
	}
	return fmt.Sprint(n)
}
