package route

import (
	"time"

	"github.com/snipebeam/snipebeam/world/outcome"
)

// CutOffAt sets the time after which this host forwards no response. Requests that
// are not expected to have one by then, those that wait among them, are refused
// at once, so that their callers can turn to another host.
func (r *Router) CutOffAt(at time.Time) {
	r.cutoff.Store(at.UnixNano())
	r.refresh()
}

// beyondCutoff reports whether a response that takes the given time from now would
// come after the cutoff.
func (r *Router) beyondCutoff(now int64, responseTime float64) bool {
	cutoff := r.cutoff.Load()
	return cutoff != 0 && float64(cutoff-now) <= responseTime
}

// endsBeforeCutoff reports whether the request's own deadline is earlier, so that the
// cutoff changes nothing for it.
func (r *Router) endsBeforeCutoff(q *Query) bool {
	return q.deadline != 0 && q.deadline < r.cutoff.Load()
}

func (d *Dispatcher) cutOffProblem() error {
	return outcome.New(outcome.NotRun, outcome.HostStopping, "this host stops before "+d.service+" is expected to respond")
}

// rejectCutOff rejects the waiting requests if their responses would come after the
// cutoff. The caller holds the lock.
func (d *Dispatcher) rejectCutOff(now int64) {
	view := d.router.views.Load(d.service)
	if view == nil || !d.router.beyondCutoff(now, d.responseTime(view)) {
		return
	}
	for d.queue.len() > 0 {
		d.rejectWaiter(d.queue.oldest(), d.cutOffProblem())
	}
	for len(d.softQueue.all) > 0 {
		d.rejectWaiter(d.softQueue.all[0], d.cutOffProblem())
	}
}
