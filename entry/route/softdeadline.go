package route

import (
	"slices"
	"time"
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
// miss its soft deadline by a little. Late requests get the remaining capacity. Of ranked
// requests, only those of the most urgent rank are considered, late or not.
type softDeadlineQueue struct{ all []*Waiter }

// responseTime returns the expected time from dispatch to the response, with a margin.
func (d *Dispatcher) responseTime(view *View) float64 {
	return view.stats.Latency()*max(view.stats.slowdown.get(), 1) + spreadMargin*view.stats.spread.get()
}

func (w *Waiter) meetsSoftDeadline(now int64, responseTime float64) bool {
	return float64(w.query.softDeadline-now) >= responseTime
}

// next returns the request to serve next, or nil, without removing it.
func (q *softDeadlineQueue) next(now int64, expect expectation) *Waiter {
	eligible := q.eligible()
	first, last := earliestAndLatest(eligible, now, expect)
	if first == nil {
		return nextLate(eligible)
	}
	responseTime := expect(first)
	if slack := float64(first.query.softDeadline-now) - responseTime; slack < lifoSlackShare*responseTime {
		return last
	}
	return first
}

// earliestAndLatest returns the requests with the earliest and the latest soft
// deadline among those of the most urgent rank that can still meet it.
func earliestAndLatest(all []*Waiter, now int64, expect expectation) (first, last *Waiter) {
	for _, w := range all {
		if !w.meetsSoftDeadline(now, expect(w)) {
			continue
		}
		order := -1
		if first != nil {
			order = w.rank().compare(first.rank())
		}
		switch {
		case order < 0:
			first, last = w, w
		case order > 0:
		case w.query.softDeadline < first.query.softDeadline:
			first = w
		case w.query.softDeadline >= last.query.softDeadline:
			last = w
		}
	}
	return first, last
}

// nextLate returns the request of the most urgent rank with the earliest deadline.
func nextLate(all []*Waiter) *Waiter {
	var best *Waiter
	for _, w := range all {
		if best == nil {
			best = w
			continue
		}
		if order := w.rank().compare(best.rank()); order < 0 || order == 0 && w.query.deadline < best.query.deadline {
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
func (q *softDeadlineQueue) unserviceable(now int64, expect expectation, maxLate int) []*Waiter {
	var shed, late []*Waiter
	for _, w := range q.all {
		responseTime := expect(w)
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
		if order := a.rank().compare(b.rank()); order != 0 {
			return order
		}
		return int((b.query.softDeadline - a.query.softDeadline) / int64(time.Millisecond)) // the most overdue ones are shed
	})
	return append(shed, late[maxLate:]...)
}

// maxLate returns how many requests that missed their soft deadline may wait, by the time
// between two slots that become free.
func (d *Dispatcher) maxLate(gap float64) int {
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
	expect := d.expectation(view)
	for _, w := range d.shed(view, now, expect) {
		d.rejectWaiter(w, d.tooLate(view, w))
	}
	for len(d.softQueue.all) > 0 {
		w := d.softQueue.next(now, expect)
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
