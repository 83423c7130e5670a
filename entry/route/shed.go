package route

import (
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Constants of load shedding.
const (
	shedMargin = 2.0 // mean deviations that are added to the response time
	fullLoad   = 2.0 // requests per slot at an instance at its limit, by which the latency is multiplied
)

// checkQueue returns a problem if the queue limit for the request's priority is
// reached or the request cannot meet its deadline.
func (d *Dispatcher) checkQueue(q *Query, view *View, now int64) error {
	waiting := d.queue.len()
	if waiting >= d.queueLimit(q) {
		return outcome.New(outcome.NotRun, outcome.Overload, "the queue limit of "+d.service+" at this host is reached")
	}
	if q.deadline == 0 {
		return nil
	}
	wait := float64(waiting) * view.stats.gap.get()
	if float64(now)+wait+d.fullResponseTime(view) > float64(q.deadline) {
		return outcome.New(outcome.NotRun, outcome.Overload, "the expected wait for "+d.service+" exceeds the request's deadline")
	}
	return nil
}

// Shares of the queue that requests of lower priority may fill.
const (
	lowShare    = 0.5
	normalShare = 0.9
)

// queueLimit returns the queue length from which a request is shed.
func (d *Dispatcher) queueLimit(q *Query) int {
	limit := float64(d.router.limits.QueueLength)
	if q.contract == nil {
		return int(limit)
	}
	switch q.rank().route {
	case contract.PriorityLow:
		limit *= lowShare
	case contract.PriorityNormal:
		limit *= normalShare
	default:
	}
	return max(int(limit), 1)
}

// fullResponseTime returns the expected time from dispatch to the response at an
// instance that is at its limit, as all are while requests wait.
func (d *Dispatcher) fullResponseTime(view *View) float64 {
	return fullLoad*view.stats.latency.get() + shedMargin*view.stats.spread.get()
}
