package route

import (
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// State is the usability of an instance.
type State int

// States of an instance.
const (
	Ready      State = iota
	Recovering       // its ejection has expired and no attempt has succeeded since
	Cold             // it announces that it is warming up
	Ejected
	Draining
	Excluded    // unusable for this request: already attempted, or in another zone than required
	RateLimited // its rate limit allows this host no request at present
)

// String returns the state as written to the decision log.
func (s State) String() string {
	return [...]string{"ready", "recovering", "cold", "ejected", "draining", "excluded", "rate-limited"}[s]
}

// Constants of outlier ejection.
const (
	ejectAfter    = 3 // consecutive failures
	firstEjection = 200 * time.Millisecond
	maxEjection   = 10 * time.Second
	resetAfter    = 50 // consecutive successes after which the ejection backoff is reset
)

// health tracks the failures of one instance for outlier ejection.
type health struct {
	failures       atomic.Int32 // consecutive
	successes      atomic.Int32 // consecutive
	ejections      atomic.Int32 // since the backoff was last reset
	ejectedUntil   atomic.Int64 // 0 if not ejected since the last success
	contradictions atomic.Int32 // consecutive load reports that contradict local observations
}

// state returns whether the instance is ejected or recovering.
func (h *health) state(now int64) State {
	until := h.ejectedUntil.Load()
	switch {
	case until == 0:
		return Ready
	case now < until:
		return Ejected
	default:
		return Recovering
	}
}

// succeed records a successful attempt.
func (h *health) succeed(now int64) {
	h.failures.Store(0)
	if h.state(now) == Recovering {
		h.ejectedUntil.Store(0)
	}
	if h.successes.Add(1) >= resetAfter {
		h.ejections.Store(0)
	}
}

// fail records a failed attempt and reports whether the instance should be ejected.
func (h *health) fail(now int64) bool {
	h.successes.Store(0)
	failures := h.failures.Add(1)
	return h.state(now) == Recovering || failures >= ejectAfter
}

// eject ejects the instance for twice as long as the previous ejection.
func (h *health) eject(now int64) {
	ejections := h.ejections.Add(1)
	period := firstEjection << min(ejections-1, 10)
	h.ejectedUntil.Store(now + int64(min(period, maxEjection)))
	h.failures.Store(0)
}

// release ends an ejection early; the next attempt is a recovery trial.
func (h *health) release(now int64) { h.ejectedUntil.Store(now) }

// stateOf returns the state of a member with respect to a query.
func stateOf(m *Member, q *Query, now int64) State {
	switch {
	case m.draining(), m.load.leaving.Load():
		return Draining
	case len(q.exclude) > 0 && q.Excludes(m.instance.ID()):
		return Excluded
	case q.zonePreference() == contract.ZoneRequire && q.inOtherZone(m):
		return Excluded
	}
	if s := m.load.health.state(now); s != Ready {
		return s
	}
	if m.isCold(q.coldRate, now) {
		return Cold
	}
	return Ready
}

// State returns the state of the member.
func (m Member) State(now int64) State { return stateOf(&m, &Query{}, now) }
