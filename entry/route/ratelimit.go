package route

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var limitedRequests = metrics.GetOrCreateCounter("snipebeam_requests_to_rate_limited_instances_total")

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
// rate limit than is known.
func WithRateLimitChanged(changed func(m Member, limit RateLimit)) Option {
	return func(r *Router) { r.limited = changed }
}

// unlimitedResponses is the number of consecutive responses without a rate limit that
// end one. A single one may have been sent before the instance announced the limit.
const unlimitedResponses = 2

// announcedLimit is the rate limit that an instance announced last, and what this host
// may send to it under that limit.
type announcedLimit struct {
	current   atomic.Pointer[announcement] // nil: it never announced one
	unlimited atomic.Int32                 // consecutive responses without a limit

	mu      sync.Mutex
	credits []credit // those that expire first are first
	rate    float64  // granted requests a second, decayed over grantedDecay
	rateAt  int64
	cold    bool    // the rate is of grants to a cold instance
	unspent float64 // part of a request that the fallback has earned
}

type announcement struct {
	limit  RateLimit
	at     int64
	direct bool // stated in a response to this host
}

// credit is a number of requests that may be sent until a time, at least one.
type credit struct {
	requests int
	since    int64
	until    int64
	cold     bool // granted to a cold instance
}

// RateLimit returns the rate limit that the instance announced, if it did.
func (l *Load) RateLimit() RateLimit {
	limit, _ := l.RateLimitAt()
	return limit
}

// RateLimitAt returns the rate limit that the instance announced last, and when.
func (l *Load) RateLimitAt() (limit RateLimit, at int64) {
	if a := l.rateLimit.current.Load(); a != nil {
		return a.limit, a.at
	}
	return RateLimit{}, 0
}

// StatedRateLimit returns the rate limit that a response to this host stated last, and
// when.
func (l *Load) StatedRateLimit() (limit RateLimit, at int64, stated bool) {
	a := l.rateLimit.current.Load()
	if a == nil || !a.direct {
		return RateLimit{}, 0, false
	}
	return a.limit, a.at, true
}

// RecordRateLimit records a limit that the instance stated to another host at a time,
// and reports whether it changed.
func (l *Load) RecordRateLimit(limit RateLimit, at int64) bool {
	return l.rateLimit.set(&announcement{limit: limit, at: at})
}

// respond records the limit of a response and reports whether it changed.
func (a *announcedLimit) respond(limit RateLimit, now int64) bool {
	if limit.limited {
		a.unlimited.Store(0)
		return a.set(&announcement{limit: limit, at: now, direct: true})
	}
	if old := a.current.Load(); old == nil || !old.limit.limited || a.unlimited.Add(1) < unlimitedResponses {
		return false
	}
	return a.set(&announcement{limit: limit, at: now, direct: true})
}

// set replaces the limit unless a newer one is known, and reports whether it changed. A
// response is newer than all that is known, also after the clock was set back.
func (a *announcedLimit) set(next *announcement) bool {
	for {
		old := a.current.Load()
		if old != nil && old.at > next.at {
			if !next.direct {
				return false
			}
			next.at = old.at
		}
		if a.current.CompareAndSwap(old, next) {
			return old == nil && next.limit.limited || old != nil && old.limit != next.limit
		}
	}
}

// blockedTime is how long a limit of 0 keeps all requests away. Only a response can end a
// limit, so that one request is tried then.
const blockedTime = 10 * time.Second

// blocked reports whether the instance accepts no request at all.
func (l *Load) blocked(now int64) bool {
	limit, at := l.RateLimitAt()
	return limit.limited && limit.perSecond == 0 && now-at < int64(blockedTime)
}

// available returns the requests that may be sent.
func (a *announcedLimit) available(cold bool, now int64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(cold, now)
	n := 0
	for _, c := range a.credits {
		n += c.requests
	}
	return n
}

// take returns the credit of one request, without requests if there is none.
func (a *announcedLimit) take(cold bool, now int64) credit {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(cold, now)
	if len(a.credits) == 0 {
		return credit{}
	}
	taken := a.credits[0]
	taken.requests = 1
	if a.credits[0].requests--; a.credits[0].requests == 0 {
		a.credits = a.credits[1:]
	}
	return taken
}

// giveBack returns the credit of a request to a cold instance that was not sent. It ends
// when it would have.
func (a *announcedLimit) giveBack(c credit) {
	if c.requests == 0 || !c.cold {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.credits = append([]credit{c}, a.credits...)
}

// expire removes credits that have expired. Those of a rate limit, which may be far above
// the limit for cold instances, end when the instance turns cold. Those of a cold instance end
// when the clock is set back, after which they would be valid for longer than was granted. The
// caller holds the lock.
func (a *announcedLimit) expire(cold bool, now int64) {
	a.credits = slices.DeleteFunc(a.credits, func(c credit) bool { return c.until <= now || c.cold && now < c.since || cold && !c.cold })
}

// grantedDecay is the time constant of the exponential decay of the granted rate.
const grantedDecay = 3 * time.Second

// add records granted requests, which may be sent until the given time.
func (a *announcedLimit) add(requests int, cold bool, until, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(cold, now)
	if cold != a.cold {
		a.rate, a.cold = 0, cold
	}
	a.rate = decay(a.rate, now-a.rateAt, grantedDecay) + float64(requests)/grantedDecay.Seconds()
	a.rateAt, a.unspent = now, 0
	a.credits = append(a.credits, credit{requests: requests, since: now, until: until, cold: cold})
}

// fallbackShare is the share of the granted rate that a host keeps while nobody grants.
// All hosts together then exceed the limit by at most this share of it, even if other
// hosts are granted all of it meanwhile.
const fallbackShare = 0.5

// fallBack earns requests for a time in which nobody granted any. lostAt is the time of
// the first call that failed.
func (a *announcedLimit) fallBack(elapsed time.Duration, lostAt, until, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cold {
		a.rate, a.unspent, a.cold = 0, 0, false
	}
	a.expire(false, now)
	a.earn(fallbackShare*decay(a.rate, max(lostAt-a.rateAt, 0), grantedDecay)*elapsed.Seconds(), until, now)
}

// fallBackCold earns requests to a cold instance for the time since the last failed call.
// The rate decays meanwhile, so that all of them are at most the share of what the host
// was granted in the last seconds, however long nobody grants and however often hosts are
// cut off.
func (a *announcedLimit) fallBackCold(elapsed time.Duration, until, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cold {
		a.rate, a.unspent, a.cold = 0, 0, true
	}
	a.expire(true, now)
	since := max(now-int64(elapsed), a.rateAt)
	earned := decay(a.rate, since-a.rateAt, grantedDecay) - decay(a.rate, now-a.rateAt, grantedDecay)
	a.earn(fallbackShare*grantedDecay.Seconds()*max(earned, 0), until, now)
}

// earn adds the whole requests that have been earned. The caller holds the lock.
func (a *announcedLimit) earn(requests float64, until, now int64) {
	a.unspent += requests
	if n := int(a.unspent); n > 0 {
		a.unspent -= float64(n)
		a.credits = append(a.credits, credit{requests: n, since: now, until: until, cold: a.cold})
	}
}

// recordRateLimit records the limit that a response stated.
func (d *Dispatcher) recordRateLimit(m Member, limit RateLimit, now int64) {
	if m.load.rateLimit.respond(limit, now) {
		d.router.limited(m, limit)
	}
}
