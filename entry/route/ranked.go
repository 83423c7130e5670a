package route

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/outcome"
)

// Bounds of the wait that a refused request is told.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// enqueueRanked queues a ranked request. One without a soft deadline has to arrive by its
// deadline. A full queue refuses its least urgent request. The caller holds the lock.
func (d *Dispatcher) enqueueRanked(view *View, q Query, admitted permit, granted func(*Ticket, error), now int64) (*Ticket, *Waiter, error) {
	if q.softDeadline == 0 {
		q.softDeadline = q.deadline
	}
	if q.softDeadline == 0 {
		q.softDeadline = now + int64(defaultDeadline)
	}
	w := &Waiter{dispatcher: d, query: q, permit: admitted, arrivedAt: now, granted: granted, inSoftQueue: true}
	if !d.softQueue.servesInTime(w, now, d.expectation(view), d.slotGap(view)) {
		return nil, nil, d.refuse(w, d.tooLate(view, w))
	}
	if len(d.softQueue.all) >= d.router.limits.QueueLength {
		last := d.softQueue.lastRanked()
		if last == nil || last.rank().compare(w.rank()) <= 0 {
			return nil, nil, d.refuse(w, d.queueFull(view, w))
		}
		d.rejectWaiter(last, d.queueFull(view, last))
	}
	return nil, d.enqueueSoft(q, admitted, granted, now), nil
}

// refuse ends a request that was not queued.
func (d *Dispatcher) refuse(w *Waiter, problem error) error {
	w.permit.release()
	d.router.refused(&w.query, problem)
	return problem
}

func (d *Dispatcher) queueFull(view *View, w *Waiter) error {
	return outcome.New(outcome.NotRun, outcome.Overload, "the queue limit of "+d.service+" at this host is reached").WithRetryAfter(d.retryAfter(view, w))
}

func (d *Dispatcher) tooLate(view *View, w *Waiter) error {
	return outcome.New(outcome.NotRun, outcome.Overload, "shed: the response would be too late").WithRetryAfter(d.retryAfter(view, w))
}

// shed returns the waiting requests to shed, by the rules for ranked ones if one of them
// is ranked.
func (d *Dispatcher) shed(view *View, now int64, expect expectation) []*Waiter {
	if d.softQueue.ranked() {
		slotGap := d.slotGap(view)
		return d.softQueue.shedRanked(now, expect, slotGap, d.maxLate(slotGap))
	}
	return d.softQueue.unserviceable(now, expect, d.maxLate(view.stats.gap.get()))
}

// retryAfter returns the time after which a refused request of the same kind can be served
// within its deadline, if no more requests arrive; 0 if it is not ranked.
func (d *Dispatcher) retryAfter(view *View, w *Waiter) time.Duration {
	if !w.query.ranked || w.query.deadline == 0 {
		return 0
	}
	budget := float64(w.query.deadline - w.arrivedAt)
	wait := float64(d.softQueue.ahead(w))*d.slotGap(view) + d.expectation(view)(w) - budget
	return min(max(time.Duration(wait), minRetryAfter), maxRetryAfter)
}

// slotGap returns the expected time between two slots that become free for this host. Its
// own completions tell it under load. A host that is not loaded has fewer completions than
// it could have, so its share of the capacity bounds the time.
func (d *Dispatcher) slotGap(view *View) float64 {
	gap, latency := view.stats.gap.get(), view.stats.Latency()
	slots := 0
	for n := range view.members {
		if !view.members[n].instance.Draining() {
			slots += view.members[n].instance.Slots()
		}
	}
	mine := float64(slots) * d.router.share(d.service)
	if latency == 0 || mine == 0 {
		return gap
	}
	if bound := latency * max(view.stats.slowdown.get(), 1) / mine; gap == 0 || bound < gap {
		return bound
	}
	return gap
}

// eligible returns the requests to choose from: all, or those of the most urgent rank if
// one of them is ranked.
func (q *softDeadlineQueue) eligible() []*Waiter {
	if !q.ranked() {
		return q.all
	}
	var top []*Waiter
	for _, w := range q.all {
		order := -1
		if len(top) > 0 {
			order = w.rank().compare(top[0].rank())
		}
		switch {
		case order < 0:
			top = append(top[:0], w)
		case order == 0:
			top = append(top, w)
		}
	}
	return top
}

func (q *softDeadlineQueue) ranked() bool {
	return slices.ContainsFunc(q.all, func(w *Waiter) bool { return w.query.ranked })
}

// ahead returns how many other requests are served before a ranked one: those that are
// more urgent, and earlier ones of the same rank.
func (q *softDeadlineQueue) ahead(w *Waiter) int {
	n, passed := 0, false
	for _, other := range q.all {
		if other == w {
			passed = true
			continue
		}
		if order := other.rank().compare(w.rank()); order < 0 || order == 0 && !passed {
			n++
		}
	}
	return n
}

// servesInTime reports whether a ranked request can meet its deadline behind those that
// are served first.
func (q *softDeadlineQueue) servesInTime(w *Waiter, now int64, expect expectation, slotGap float64) bool {
	return w.query.deadline == 0 || float64(q.ahead(w))*slotGap+expect(w) <= float64(w.query.deadline-now)
}

// lastRanked returns the latest ranked request of the least urgent rank, nil for none.
func (q *softDeadlineQueue) lastRanked() *Waiter {
	var last *Waiter
	for _, w := range q.all {
		if w.query.ranked && (last == nil || w.rank().compare(last.rank()) >= 0) {
			last = w
		}
	}
	return last
}

// shedRanked returns the ranked requests to shed: those that cannot meet their deadline
// behind the others, the least urgent first, and of the least urgent rank the late ones
// beyond maxLate. A late request is never shed while a less urgent one waits.
func (q *softDeadlineQueue) shedRanked(now int64, expect expectation, slotGap float64, maxLate int) []*Waiter {
	order := slices.Clone(q.all)
	slices.SortStableFunc(order, func(a, b *Waiter) int { return a.rank().compare(b.rank()) })
	var shed []*Waiter
	kept, late := 0, 0
	for _, w := range order {
		responseTime := expect(w)
		if w.query.deadline != 0 && float64(kept)*slotGap+responseTime > float64(w.query.deadline-now) {
			shed = append(shed, w)
			continue
		}
		if !w.meetsSoftDeadline(now, responseTime) {
			late++
			if late > maxLate && w.rank() == order[len(order)-1].rank() {
				shed = append(shed, w)
				continue
			}
		}
		kept++
	}
	return shed
}
