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
}

// GrantFunc requests grants from the control hosts for up to wanted requests to the given
// members, which have a rate limit.
type GrantFunc func(ctx context.Context, wanted int, members []Member) (Grants, error)

// WithGrants sets the function that requests grants. Without one this host sends nothing
// to an instance with a rate limit.
func WithGrants(grant GrantFunc) Option { return func(r *Router) { r.grant = grant } }

// Constants of grants.
const (
	grantInterval = 50 * time.Millisecond // interval of checks for services that need grants
	// grantHorizon is the time for which a host requests grants in advance. It is shorter
	// than their validity, as a grant that expires is lost to all hosts.
	grantHorizon     = 500 * time.Millisecond
	fallbackValidity = time.Second
	demandDecay      = 4 * time.Second // time constant of the decay of a service's request rate
)

var (
	grantCalls    = metrics.GetOrCreateCounter("snipebeam_grant_calls_total")
	grantFailures = metrics.GetOrCreateCounter("snipebeam_grant_calls_failed_total")
	grantedTotal  = metrics.GetOrCreateCounter("snipebeam_requests_granted_total")
)

// decay returns the value of an exponentially decaying rate after some time.
func decay(rate float64, elapsed int64, timeConstant time.Duration) float64 {
	return rate * math.Exp(-float64(elapsed)/float64(timeConstant))
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

func (d *demand) perSecond(now int64) float64 {
	return decay(d.rate.get(), now-d.at.Load(), demandDecay)
}

// grantState is the progress of a service's requests for grants.
type grantState struct {
	pending  atomic.Bool
	notUntil atomic.Int64 // time of the next call
	failedAt atomic.Int64 // last time that the fallback was applied, 0 after a success
	lostAt   atomic.Int64 // time of the first call that failed since the last success
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
		}
		for _, d := range *r.dispatchers.Load() {
			if wanted, members := d.wantedGrants(r.clock()); wanted > 0 && d.grants.pending.CompareAndSwap(false, true) {
				go func() {
					defer d.grants.pending.Store(false)
					d.requestGrants(ctx, wanted, members)
				}()
			}
		}
	}
}

// wantedGrants returns how many requests to grant, and the members with a rate limit
// that may take them.
func (d *Dispatcher) wantedGrants(now int64) (wanted int, members []Member) {
	view := d.router.views.Load(d.service)
	if d.router.grant == nil || view == nil || now < d.grants.notUntil.Load() {
		return 0, nil
	}
	expected := int(math.Round(d.demand.perSecond(now) * grantHorizon.Seconds()))
	wanted = max(expected, int(d.waiting.Load()))
	if wanted == 0 {
		return 0, nil
	}
	cached := d.subsetCache.Load()
	if cached == nil || cached.view != view {
		return 0, nil // no request has used this view
	}
	q := Query{}
	for _, m := range cached.members() {
		if !m.load.RateLimit().limited || m.load.blocked(now) {
			continue
		}
		if state := stateOf(&m, &q, now); state == Draining || state == Ejected {
			continue
		}
		wanted -= m.load.rateLimit.available(now)
		members = append(members, m)
	}
	if len(members) == 0 {
		return 0, nil
	}
	return wanted, members
}

// requestGrants requests grants and dispatches waiting requests.
func (d *Dispatcher) requestGrants(ctx context.Context, wanted int, members []Member) {
	started := d.router.clock()
	grantCalls.Inc()
	grants, err := d.router.grant(ctx, wanted, members)
	if err != nil {
		grantFailures.Inc()
	}
	d.applyGrants(members, grants, err, started)
}

// applyGrants records the result of a call that was sent at the given time.
func (d *Dispatcher) applyGrants(members []Member, grants Grants, err error, sent int64) {
	now := d.router.clock()
	d.grants.notUntil.Store(now + int64(grants.Pause))
	if err != nil {
		d.fallBack(members, now)
	} else {
		d.grants.failedAt.Store(0)
	}
	for _, m := range members {
		if n := grants.Requests[m.instance.ID()]; n > 0 {
			grantedTotal.Add(n)
			m.load.rateLimit.add(n, sent+int64(grants.Validity), now)
		}
	}
	if d.waiting.Load() > 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.dispatch(now)
	}
}

// fallBack lets this host go on with a share of the rate that it was granted last.
func (d *Dispatcher) fallBack(members []Member, now int64) {
	last := d.grants.failedAt.Swap(now)
	if last == 0 {
		d.grants.lostAt.Store(now)
		return
	}
	for _, m := range members {
		m.load.rateLimit.fallBack(time.Duration(now-last), d.grants.lostAt.Load(), now+int64(fallbackValidity), now)
	}
}
