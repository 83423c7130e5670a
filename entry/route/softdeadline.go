package route

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Constants of scheduling by soft deadline.
const (
	spreadMargin   = 1.0 // mean deviations that are added to the mean response time
	lifoSlackShare = 0.6 // slack, as a share of the response time, below which the newest request is served first
	// maxLateWait bounds the queueing time of requests that missed their soft
	// deadline, estimated from the recent completion rate; excess ones are shed.
	maxLateWait = 600 * time.Millisecond
)

// softDeadlineQueue holds waiting requests that have a soft deadline. Requests
// that can still meet it are served first, by priority and then by earliest
// deadline. While the earliest one has little slack, the newest is served instead
// (adaptive LIFO): under overload, strict deadline order would make every request
// miss its soft deadline by a little. Late requests get the remaining capacity.
type softDeadlineQueue struct{ all []*Waiter }

// responseTime returns the expected time from dispatch to the response, with a margin.
func (d *Dispatcher) responseTime(view *View) float64 {
	return view.stats.Latency()*max(view.stats.slowdown.get(), 1) + spreadMargin*view.stats.spread.get()
}

func (w *Waiter) meetsSoftDeadline(now int64, responseTime float64) bool {
	return float64(w.query.softDeadline-now) >= responseTime
}

func (w *Waiter) priority() contract.Priority {
	if w.query.contract == nil {
		return contract.PriorityNormal
	}
	return w.query.contract.Priority()
}

// next returns the request to serve next, or nil, without removing it.
func (q *softDeadlineQueue) next(now int64, responseTime float64) *Waiter {
	first, last := q.earliestAndLatest(now, responseTime)
	if first == nil {
		return q.nextLate()
	}
	if slack := float64(first.query.softDeadline-now) - responseTime; slack < lifoSlackShare*responseTime {
		return last
	}
	return first
}

// earliestAndLatest returns the requests with the earliest and the latest soft
// deadline among those of the highest priority that can still meet it.
func (q *softDeadlineQueue) earliestAndLatest(now int64, responseTime float64) (first, last *Waiter) {
	for _, w := range q.all {
		switch {
		case !w.meetsSoftDeadline(now, responseTime):
		case first == nil || w.priority() < first.priority():
			first, last = w, w
		case w.priority() > first.priority():
		case w.query.softDeadline < first.query.softDeadline:
			first = w
		case w.query.softDeadline >= last.query.softDeadline:
			last = w
		}
	}
	return first, last
}

// nextLate returns the request of the highest priority with the earliest deadline.
func (q *softDeadlineQueue) nextLate() *Waiter {
	var best *Waiter
	for _, w := range q.all {
		if best == nil || w.priority() < best.priority() || w.priority() == best.priority() && w.query.deadline < best.query.deadline {
			best = w
		}
	}
	return best
}

func (q *softDeadlineQueue) remove(w *Waiter) {
	if at := slices.Index(q.all, w); at >= 0 {
		q.all = slices.Delete(q.all, at, at+1)
	}
}

// unserviceable returns the requests to shed: those that cannot meet their
// deadline, and the late ones beyond maxLate with the lowest priority and the
// earliest soft deadline.
func (q *softDeadlineQueue) unserviceable(now int64, responseTime float64, maxLate int) []*Waiter {
	var shed, late []*Waiter
	for _, w := range q.all {
		switch {
		case w.query.deadline != 0 && float64(w.query.deadline-now) < responseTime:
			shed = append(shed, w)
		case !w.meetsSoftDeadline(now, responseTime):
			late = append(late, w)
		}
	}
	if len(late) <= maxLate {
		return shed
	}
	slices.SortStableFunc(late, func(a, b *Waiter) int {
		if a.priority() != b.priority() {
			return int(a.priority()) - int(b.priority())
		}
		return int((b.query.softDeadline - a.query.softDeadline) / int64(time.Millisecond)) // the most overdue ones are shed
	})
	return append(shed, late[maxLate:]...)
}

// maxLate returns how many requests that missed their soft deadline may wait.
func (d *Dispatcher) maxLate(view *View) int {
	gap := view.stats.gap.get()
	if gap == 0 {
		return d.router.limits.QueueLength
	}
	return max(int(float64(maxLateWait)/gap), 1)
}

// dispatchSoftQueue assigns free instances to waiting requests that have a soft
// deadline. The caller holds the lock.
func (d *Dispatcher) dispatchSoftQueue(now int64) {
	terms := d.router.terms(d.service)
	view := d.router.views.Load(d.service)
	if view == nil {
		for _, w := range slices.Clone(d.softQueue.all) {
			d.rejectWaiter(w, d.noInstance(nil))
		}
		return
	}
	responseTime := d.responseTime(view)
	for _, w := range d.softQueue.unserviceable(now, responseTime, d.maxLate(view)) {
		d.rejectWaiter(w, outcome.New(outcome.NotRun, outcome.Overload, "shed: the response would be too late"))
	}
	for len(d.softQueue.all) > 0 {
		w := d.softQueue.next(now, responseTime)
		ticket, at := d.choose(view, &w.query, terms, now)
		if at == AllBusy {
			return
		}
		if ticket == nil {
			d.rejectWaiter(w, d.noInstance(view))
			continue
		}
		d.softQueue.remove(w)
		w.inSoftQueue = false
		d.waiting.Add(-1)
		ticket.permit = w.permit
		ticket.waited = time.Duration(now - w.arrivedAt)
		w.granted(ticket, nil)
	}
}
