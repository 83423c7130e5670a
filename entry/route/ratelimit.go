package route

import (
	"strconv"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// RateLimit is the requests a second that an instance accepts from all entry hosts
// together. The zero value is no limit.
type RateLimit struct {
	perSecond float64
	limited   bool
}

// NewRateLimit returns a limit. 0 means that the instance accepts nothing.
func NewRateLimit(perSecond float64) RateLimit { return RateLimit{perSecond: perSecond, limited: true} }

// Limited reports whether there is a limit.
func (l RateLimit) Limited() bool { return l.limited }

// PerSecond returns the requests a second, 0 without a limit.
func (l RateLimit) PerSecond() float64 { return l.perSecond }

// String returns the limit as written to logs.
func (l RateLimit) String() string {
	if !l.limited {
		return "none"
	}
	return strconv.FormatFloat(l.perSecond, 'g', 4, 64) + "/s"
}

// WithRateLimitChanged calls changed when a response of an instance states another
// rate limit than before.
func WithRateLimitChanged(changed func(m Member, limit RateLimit)) Option {
	return func(r *Router) { r.limited = changed }
}

// unlimitedResponses is the number of consecutive responses without a rate limit that
// end one. A single one may have been sent before the instance announced the limit.
const unlimitedResponses = 2

// announcedLimit is the rate limit that an instance announced last.
type announcedLimit struct {
	current   atomic.Pointer[announcement] // nil: it never announced one
	unlimited atomic.Int32                 // consecutive responses without a limit
}

type announcement struct {
	limit RateLimit
	at    int64
}

// RateLimit returns the rate limit that the instance announced, if it did.
func (l *Load) RateLimit() RateLimit {
	if a := l.rateLimit.current.Load(); a != nil {
		return a.limit
	}
	return RateLimit{}
}

// respond records the limit of a response and reports whether it changed.
func (a *announcedLimit) respond(limit RateLimit, now int64) bool {
	if limit.limited {
		a.unlimited.Store(0)
		return a.set(limit, now)
	}
	if a.current.Load() == nil || a.unlimited.Add(1) < unlimitedResponses {
		return false
	}
	return a.set(limit, now)
}

// set replaces the limit unless a newer one is known, and reports whether it changed.
func (a *announcedLimit) set(limit RateLimit, at int64) bool {
	for {
		old := a.current.Load()
		if old != nil && old.at > at {
			return false
		}
		if a.current.CompareAndSwap(old, &announcement{limit: limit, at: at}) {
			return old == nil || old.limit != limit
		}
	}
}

var limitedRequests = metrics.GetOrCreateCounter("snipebeam_requests_to_rate_limited_instances_total")

// recordRateLimit records the limit that a response stated.
func (d *Dispatcher) recordRateLimit(m Member, limit RateLimit, now int64) {
	if m.load.rateLimit.respond(limit, now) {
		d.router.limited(m, limit)
	}
}
