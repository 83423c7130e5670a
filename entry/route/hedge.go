package route

import "time"

// Constants of hedging.
const (
	hedgeAfter = 1.3 // of the usual time of an answer, after which it is late
	hedgeAim   = 0.5 // of the time aimed at, after which a second answer still helps
)

// HedgeDelay returns how long an answer may take before the request is worth a
// second instance: by the time aimed at, else by the service's usual time; 0 if
// neither is known.
func (r *Router) HedgeDelay(service string, aim time.Duration) time.Duration {
	if aim > 0 {
		return time.Duration(hedgeAim * float64(aim))
	}
	view := r.views.Load(service)
	if view == nil {
		return 0
	}
	return time.Duration(hedgeAfter * view.norm.Latency())
}

// Try is Acquire for a request that does not wait: it returns nil if no
// instance is free, or if the retry budget is used up.
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
	if ticket == nil {
		return nil
	}
	if !d.spendRetry() {
		ticket.unused()
		return nil
	}
	return ticket
}

// unused gives a ticket back that was not used.
func (t *Ticket) unused() {
	t.member.load.inFlight.Add(-1)
	t.dispatcher.limits.inFlight.Add(-1)
}
