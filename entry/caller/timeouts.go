package caller

import (
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/rule"
)

// callerTimeouts tracks the longest timeout that callers of each rule have
// sent. A caller that retries sends a shorter one, and the difference, the time
// that it has already waited, counts towards the target latency.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by the rule's prefix and host
}

// softDeadline returns the time by which the response should arrive, as set by
// the `aim` of the rule, zero if it has none. timeout is the one that the caller
// sent, 0 for none.
func (t *callerTimeouts) softDeadline(r *rule.Rule, timeout time.Duration, now time.Time) time.Time {
	target := r.Contract().Aim()
	if target == 0 {
		return time.Time{}
	}
	if timeout == 0 {
		return now.Add(target)
	}
	return now.Add(target - (t.observe(r.Host()+r.Prefix(), timeout) - timeout))
}

// observe records a timeout and returns the longest one of the rule so far.
func (t *callerTimeouts) observe(key string, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longest == nil || len(t.longest) > maxTrackedRules {
		t.longest = map[string]time.Duration{}
	}
	t.longest[key] = max(t.longest[key], timeout)
	return t.longest[key]
}
