package route

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Charge is what a repeated request was charged to, empty for one that is not allowed.
type Charge string

// Charges.
const (
	Uncharged Charge = "none"    // no earlier send can have reached an instance
	Earned    Charge = "earned"  // the share of this host's requests
	Granted   Charge = "granted" // the allowance that all hosts share
)

// RetryGrants are retries and hedges that this host may send.
type RetryGrants struct {
	Retries, Hedges int
	Validity        time.Duration // from the time of the call
	Pause           time.Duration // until the next call for the same service
}

// RetryGrantFunc requests up to the given numbers of retries and hedges from the
// allowance that the hosts of a service share.
type RetryGrantFunc func(ctx context.Context, service string, retries, hedges int) (RetryGrants, error)

// WithRetryGrants sets the function that requests retries beyond those that this host's
// own requests earn. Without one there are none.
func WithRetryGrants(grant RetryGrantFunc) Option {
	return func(r *Router) { r.retryGrant = grant }
}

// retryGrantTimeout bounds the time that a retry waits for a grant.
const retryGrantTimeout = 300 * time.Millisecond

var (
	retryGrantCalls    = metrics.GetOrCreateCounter("snipebeam_retry_grant_calls_total")
	retryGrantFailures = metrics.GetOrCreateCounter("snipebeam_retry_grant_calls_failed_total")
)

// AllowRetry returns what a retry is charged to, empty if it is not allowed. It may
// wait for a grant.
func (r *Router) AllowRetry(ctx context.Context, service string) Charge {
	return r.Dispatcher(service).allowRepeat(ctx, false)
}

// AllowHedge is AllowRetry for a hedge, which gets what retries leave.
func (r *Router) AllowHedge(ctx context.Context, service string) Charge {
	return r.Dispatcher(service).allowRepeat(ctx, true)
}

func (d *Dispatcher) allowRepeat(ctx context.Context, hedge bool) Charge {
	allowance, window := d.router.terms(d.service).RetryAllowance()
	spend := d.limits.retries.Spend
	if hedge {
		spend = d.limits.retries.SpendSaved
	}
	if spend(window, d.router.steady()) {
		return Earned
	}
	if allowance == 0 || d.router.retryGrant == nil || !d.retryGrants.wait(ctx, d, hedge) {
		return ""
	}
	return Granted
}

// retryGrants collects the retries and hedges of one service that wait for a grant, so
// that one call at a time requests all of them.
type retryGrants struct {
	mu            sync.Mutex
	retries       []chan bool
	hedges        []chan bool
	calling       bool
	retryNotUntil int64 // time of the next call for retries
	hedgeNotUntil int64 // time of the next call for hedges
}

// wait requests one retry or hedge and reports whether it was granted.
func (g *retryGrants) wait(ctx context.Context, d *Dispatcher, hedge bool) bool {
	granted := make(chan bool, 1)
	if !g.enqueue(ctx, d, granted, hedge) {
		return false
	}
	select {
	case ok := <-granted:
		return ok
	case <-ctx.Done():
		return false
	}
}

func (g *retryGrants) enqueue(ctx context.Context, d *Dispatcher, granted chan bool, hedge bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting, notUntil := &g.retries, g.retryNotUntil
	if hedge {
		waiting, notUntil = &g.hedges, g.hedgeNotUntil
	}
	if d.router.steady() < notUntil {
		return false
	}
	*waiting = append(*waiting, granted)
	if !g.calling {
		g.calling = true
		go g.call(context.WithoutCancel(ctx), d) // others wait for it too
	}
	return true
}

// call requests grants until none is wanted.
func (g *retryGrants) call(ctx context.Context, d *Dispatcher) {
	for {
		retries, hedges := g.next()
		if len(retries)+len(hedges) == 0 {
			return
		}
		grants, err := d.requestRetries(ctx, len(retries), len(hedges))
		g.pause(d.router.steady()+int64(grants.Pause), err != nil || grants.Retries < len(retries))
		answer(retries, grants.Retries)
		answer(hedges, grants.Hedges)
	}
}

// pause sets the time of the next call. Hedges of which none was left do not keep retries
// from being requested.
func (g *retryGrants) pause(until int64, retries bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hedgeNotUntil = max(g.hedgeNotUntil, until)
	if retries {
		g.retryNotUntil = max(g.retryNotUntil, until)
	}
}

// next takes all that wait. If none do, the next one starts another call.
func (g *retryGrants) next() (retries, hedges []chan bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	retries, hedges = g.retries, g.hedges
	g.retries, g.hedges = nil, nil
	g.calling = len(retries)+len(hedges) > 0
	return retries, hedges
}

// answer grants the first n of those that wait.
func answer(waiting []chan bool, n int) {
	for at, granted := range waiting {
		granted <- at < n
	}
}

// requestRetries makes one call. A grant that arrives after its validity is void.
func (d *Dispatcher) requestRetries(ctx context.Context, retries, hedges int) (RetryGrants, error) {
	ctx, cancel := context.WithTimeout(ctx, retryGrantTimeout)
	defer cancel()
	retryGrantCalls.Inc()
	sent := d.router.steady()
	grants, err := d.router.retryGrant(ctx, d.service, retries, hedges)
	if err != nil {
		retryGrantFailures.Inc()
		return RetryGrants{Pause: grants.Pause}, err
	}
	if d.router.steady()-sent > int64(grants.Validity) {
		return RetryGrants{Pause: grants.Pause}, nil
	}
	return grants, nil
}
