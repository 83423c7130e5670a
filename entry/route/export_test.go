package route

import "context"

// RequestGrants requests the grants that each service needs now, and applies them.
func (r *Router) RequestGrants(ctx context.Context) {
	for _, d := range *r.dispatchers.Load() {
		if request := d.grantRequest(r.clock()); request.wanted > 0 {
			d.requestGrants(ctx, request)
		}
	}
}

// RetryWaiting dispatches the waiting requests of each service.
func (r *Router) RetryWaiting() {
	for _, d := range *r.dispatchers.Load() {
		d.retryWaiting()
	}
}

// WithSteadyClock sets the source of the time that never goes back.
func WithSteadyClock(clock func() int64) Option { return func(r *Router) { r.steady = clock } }
