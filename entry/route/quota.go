package route

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/instance"
)

// Grants are requests that this host may send to instances with a rate limit.
type Grants struct {
	Requests map[instance.ID]int
	Validity time.Duration // from the time of the call
	Pause    time.Duration // until the next call for the same service
	// ColdOnly states that the leader does not grant yet what is not for cold instances.
	ColdOnly bool
}

// GrantFunc requests grants from the control hosts for up to wanted requests to the given
// members of a service, which have a rate limit or are cold.
type GrantFunc func(ctx context.Context, wanted int, members []Member) (Grants, error)

// WithGrants sets the function that requests grants. Without one this host sends nothing
// to an instance with a rate limit.
func WithGrants(grant GrantFunc) Option { return func(r *Router) { r.grant = grant } }

// Constants of grants.
const (
	grantInterval = 50 * time.Millisecond // interval of checks for services that need grants
	// grantHorizon is the time for which a host requests grants in advance. It is shorter
	// than their validity, as a grant that expires is lost to all hosts.
	grantHorizon = 500 * time.Millisecond
	// coldHorizon is that of grants to cold instances. A host of a large deployment has about
	// one request a second for a service, and would otherwise wait for a grant with each.
	coldHorizon      = time.Second
	fallbackValidity = time.Second
	demandDecay      = 4 * time.Second // time constant of the decay of a service's request rate
)

var (
	grantCalls    = metrics.GetOrCreateCounter("snipebeam_grant_calls_total")
	grantFailures = metrics.GetOrCreateCounter("snipebeam_grant_calls_failed_total")
	grantedTotal  = metrics.GetOrCreateCounter("snipebeam_requests_granted_total")
)

// decay returns the value of an exponentially decaying rate after some time. The time is
// negative after the clock was set back, which must not raise the rate.
func decay(rate float64, elapsed int64, timeConstant time.Duration) float64 {
	return rate * math.Exp(-float64(max(elapsed, 0))/float64(timeConstant))
}

// demand is the rate of requests to a service at this host.
type demand struct {
	rate atomicFloat
	at   atomic.Int64
}

func (d *demand) observe(now int64) {
	last := d.at.Swap(now)
	d.rate.update(func(old float64) float64 { return decay(old, now-last, demandDecay) + 1/demandDecay.Seconds() })
}

// expected returns the requests within a time.
func (d *demand) expected(within time.Duration, now int64) int {
	return int(math.Round(d.perSecond(now) * within.Seconds()))
}

func (d *demand) perSecond(now int64) float64 {
	return decay(d.rate.get(), now-d.at.Load(), demandDecay)
}

// grantState is the progress of a service's requests for grants.
type grantState struct {
	pending  atomic.Bool
	notUntil atomic.Int64 // time of the next call, see steady.Clock
	failedAt atomic.Int64 // last time that the fallback was applied, 0 after a success
	lostAt   atomic.Int64 // time of the first call since the last success that failed or granted only cold instances
}

// RunGrants requests grants for the services that need them until the context ends.
func (r *Router) RunGrants(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.coldWaiting:
		}
		for _, d := range *r.dispatchers.Load() {
			if request := d.grantRequest(r.clock()); request.wanted > 0 && d.grants.pending.CompareAndSwap(false, true) {
				go func() {
					defer d.grants.pending.Store(false)
					d.requestGrants(ctx, request)
				}()
			}
		}
	}
}

// observeColdDemand counts a request that a cold member serves best: it was sent to one,
// would have been with a grant, or has to wait, as m is nil. Only such requests call for
// grants to cold members, as the others are better served by the rest.
func (d *Dispatcher) observeColdDemand(q *Query, m *Member, now int64) {
	if q.coldRate <= 0 || m != nil && !q.coldWanted && !m.isCold(q.coldRate, now) {
		return
	}
	d.coldDemand.observe(now)
	if m != nil {
		return
	}
	select {
	case d.router.coldWaiting <- struct{}{}:
	default:
	}
}

// grantRequest is a call for grants.
type grantRequest struct {
	wanted  int
	members []Member
	cold    []bool // of the members
}

// grantRequest returns how many requests to grant, and the members with a limit that may
// take them.
func (d *Dispatcher) grantRequest(now int64) (request grantRequest) {
	view := d.router.views.Load(d.service)
	if d.router.grant == nil || view == nil || d.router.steady() < d.grants.notUntil.Load() {
		return request
	}
	q := Query{coldRate: d.router.terms(d.service).ColdRate()}
	waiting, expected, coldExpected := int(d.waiting.Load()), d.demand.expected(grantHorizon, now), 0
	if q.coldRate > 0 {
		coldExpected = d.coldDemand.expected(coldHorizon, now)
	}
	if waiting == 0 && expected == 0 && coldExpected == 0 {
		return request
	}
	cached := d.subsetCache.Load()
	if cached == nil || cached.view != view {
		return request // no request has used this view
	}
	available, named := 0, false
	for _, m := range cached.members() {
		allowance := m.allowance(q.coldRate, now)
		if !allowance.limit.limited || m.load.blocked(now) {
			continue
		}
		if state := stateOf(&m, &q, now); state == Draining || state == Ejected {
			continue
		}
		available += m.available(allowance, now)
		named = named || !allowance.cold
		request.members, request.cold = append(request.members, m), append(request.cold, allowance.cold)
	}
	if len(request.members) == 0 {
		return grantRequest{}
	}
	request.wanted = max(coldExpected, waiting)
	if named {
		request.wanted = max(expected, request.wanted)
	}
	request.wanted -= available
	return request
}

// requestGrants requests grants and dispatches waiting requests.
func (d *Dispatcher) requestGrants(ctx context.Context, request grantRequest) {
	started := d.router.clock()
	grantCalls.Inc()
	grants, err := d.router.grant(ctx, request.wanted, request.members)
	if err != nil {
		grantFailures.Inc()
	}
	d.applyGrants(request, grants, err, started)
}

// applyGrants records the result of a call that was sent at the given time.
func (d *Dispatcher) applyGrants(request grantRequest, grants Grants, err error, sent int64) {
	now := d.router.clock()
	d.grants.notUntil.Store(d.router.steady() + int64(grants.Pause))
	if err != nil || grants.ColdOnly {
		d.fallBack(request, grants.ColdOnly, now)
	} else {
		d.grants.failedAt.Store(0)
	}
	for at, m := range request.members {
		if n := grants.Requests[m.instance.ID()]; n > 0 {
			grantedTotal.Add(n)
			m.load.rateLimit.add(n, request.cold[at], sent+int64(grants.Validity), now)
		}
	}
	if d.waiting.Load() > 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.dispatch(now)
	}
}

// fallBack lets this host go on with a share of the rate that it was granted last, except at
// cold instances if those are granted.
func (d *Dispatcher) fallBack(request grantRequest, coldGranted bool, now int64) {
	last := d.grants.failedAt.Swap(now)
	if last == 0 {
		d.grants.lostAt.Store(now)
		return
	}
	elapsed, until := time.Duration(now-last), now+int64(fallbackValidity)
	for at, m := range request.members {
		switch {
		case !request.cold[at]:
			m.load.rateLimit.fallBack(elapsed, d.grants.lostAt.Load(), until, now)
		case !coldGranted:
			m.load.rateLimit.fallBackCold(elapsed, until, now)
		}
	}
}
