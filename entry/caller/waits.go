package caller

import (
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/rule"
)

// waits remembers how long the callers of each rule wait at most. A caller that
// asks once more has less time left than that, and what it has waited already
// counts towards the aim.
type waits struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by the rule's prefix and host
}

// aim returns the time by which an answer is worth most, zero if the rule has
// none. given is the time that the caller will wait, 0 if it did not say.
func (t *waits) aim(r *rule.Rule, given time.Duration, now time.Time) time.Time {
	aim := r.Contract().Aim()
	if aim == 0 {
		return time.Time{}
	}
	if given == 0 {
		return now.Add(aim)
	}
	return now.Add(aim - (t.note(r.Host()+r.Prefix(), given) - given))
}

// note returns the longest time that callers of a rule have given.
func (t *waits) note(key string, given time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longest == nil || len(t.longest) > maxTurns {
		t.longest = map[string]time.Duration{}
	}
	t.longest[key] = max(t.longest[key], given)
	return t.longest[key]
}
