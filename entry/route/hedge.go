package route

import "time"

// Constants of hedged requests.
const (
	hedgeLatencyFactor = 1.3 // multiple of the mean latency after which a hedge is sent
	hedgeTargetShare   = 0.5 // share of the target latency after which a hedge can still meet it
)

// HedgeDelay returns how long to wait for a response before a hedge is sent to a
// second instance. It is derived from the target latency if there is one, else
// from the service's mean latency; 0 if neither is known.
func (r *Router) HedgeDelay(service string, target time.Duration) time.Duration {
	if target > 0 {
		return time.Duration(hedgeTargetShare * float64(target))
	}
	view := r.views.Load(service)
	if view == nil {
		return 0
	}
	return time.Duration(hedgeLatencyFactor * view.stats.Latency())
}

// Try is Acquire for a hedged request, which does not wait: it returns nil if no
// instance is free. The hedge is to be charged by AllowHedge before it is sent.
func (r *Router) Try(q Query) *Ticket {
	view := r.views.Load(q.service)
	if view == nil {
		return nil
	}
	d := r.Dispatcher(q.service)
	if d.waiting.Load() > 0 {
		return nil
	}
	ticket, _ := d.choose(view, &q, r.terms(q.service), r.clock())
	return ticket
}
