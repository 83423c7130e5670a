package route

import (
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// State says how far an instance may be used.
type State int

// States of an instance.
const (
	Ready      State = iota
	Recovering       // its ejection has ended and no attempt has succeeded since
	Cold             // it announced a cold start
	Ejected
	Draining
	Excluded // an earlier attempt of the request used it
)

// String returns the state as logs show it.
func (s State) String() string {
	return [...]string{"ready", "recovering", "cold", "ejected", "draining", "excluded"}[s]
}

// Constants of ejection.
const (
	ejectAfter    = 3 // failures in a row
	firstEjection = 200 * time.Millisecond
	maxEjection   = 10 * time.Second
	forgiveAfter  = 50 // successes in a row after which an ejection is forgotten
)

// health follows the failures of one instance.
type health struct {
	failures     atomic.Int32 // in a row
	successes    atomic.Int32 // in a row
	ejections    atomic.Int32 // not forgotten yet
	ejectedUntil atomic.Int64 // 0 if not ejected since the last success
	lies         atomic.Int32 // reports in a row that our own count contradicts
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

// succeed records a good answer.
func (h *health) succeed(now int64) {
	h.failures.Store(0)
	if h.state(now) == Recovering {
		h.ejectedUntil.Store(0)
	}
	if h.successes.Add(1) >= forgiveAfter {
		h.ejections.Store(0)
	}
}

// fail records a failure and reports whether the instance is to be ejected.
func (h *health) fail(now int64) bool {
	h.successes.Store(0)
	failures := h.failures.Add(1)
	return h.state(now) == Recovering || failures >= ejectAfter
}

// eject ejects the instance, twice as long as the last time.
func (h *health) eject(now int64) {
	times := h.ejections.Add(1)
	period := firstEjection << min(times-1, 10)
	h.ejectedUntil.Store(now + int64(min(period, maxEjection)))
	h.failures.Store(0)
}

// release ends an ejection early; the next attempt is a trial.
func (h *health) release(now int64) { h.ejectedUntil.Store(now) }

// stateOf returns how far a member may be used for a query.
func stateOf(m *Member, q *Query, now int64) State {
	switch {
	case m.instance.Draining():
		return Draining
	case len(q.exclude) > 0 && q.Excludes(m.instance.ID()):
		return Excluded
	case q.zonePreference() == contract.ZoneRequire && q.elsewhere(m):
		return Excluded
	}
	if s := m.load.health.state(now); s != Ready {
		return s
	}
	if m.instance.Cold() {
		return Cold
	}
	return Ready
}

// State returns how far the member may be used.
func (m Member) State(now int64) State { return stateOf(&m, &Query{}, now) }
