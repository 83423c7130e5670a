package route

import (
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Constants of shedding.
const (
	shedMargin = 2.0 // deviations
	fullLevel  = 2.0 // requests a slot at an instance at its limit: the answer takes as many turns
)

// refuse returns a problem if the request cannot be answered in time or the
// queue is full.
func (d *Dispatcher) refuse(q *Query, view *View, now int64) error {
	waiting := d.queue.len()
	if waiting >= d.room(q) {
		return outcome.New(outcome.NotRun, outcome.Overload, "too many requests of "+d.service+" wait at this host")
	}
	if q.deadline == 0 {
		return nil
	}
	wait := float64(waiting) * view.norm.gap.get()
	if float64(now)+wait+d.margin(view) > float64(q.deadline) {
		return outcome.New(outcome.NotRun, outcome.Overload, "the queue of "+d.service+" is longer than the request's deadline")
	}
	return nil
}

// Shares of the queue that lower priorities may fill.
const (
	lowShare    = 0.5
	normalShare = 0.9
)

// room returns the queue's length from which a request is refused.
func (d *Dispatcher) room(q *Query) int {
	room := float64(d.router.limits.QueueLength)
	if q.contract == nil {
		return int(room)
	}
	switch q.contract.Priority() {
	case contract.PriorityLow:
		room *= lowShare
	case contract.PriorityNormal:
		room *= normalShare
	default:
	}
	return max(int(room), 1)
}

// margin is the time that an answer takes once the request was sent to a full
// instance, as all are while requests wait.
func (d *Dispatcher) margin(view *View) float64 {
	return fullLevel*view.norm.latency.get() + shedMargin*view.norm.spread.get()
}
