package route

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Constants of requests that aim at a time for their answer.
const (
	aimMargin  = 1.0 // deviations beside the usual time that an answer must have left
	brinkShare = 0.6 // of the usual time: with less to spare, the newest request goes first
	// lateSpan is how long requests that missed their aim may have to wait for
	// each other, as far as completions of late show; more are refused at once.
	lateSpan = 600 * time.Millisecond
)

// aims holds waiting requests that aim at a time for their answer. Those that
// can still make it go first, by priority; of one priority the one whose time
// comes first, or the newest while that one would barely make it: under
// overload each request that is served should make its aim, and not each one
// miss it by a little. Requests that missed their aim take what is left.
type aims struct{ all []*Waiter }

// need returns the time that an answer takes once the request was sent.
func (d *Dispatcher) need(view *View) float64 {
	return view.norm.Latency()*max(view.norm.speed.get(), 1) + aimMargin*view.norm.spread.get()
}

func (w *Waiter) timely(now int64, need float64) bool {
	return float64(w.query.aim-now) >= need
}

func (w *Waiter) rank() contract.Priority {
	if w.query.contract == nil {
		return contract.PriorityNormal
	}
	return w.query.contract.Priority()
}

// next returns the request whose turn it is, or nil; it stays in the list.
func (a *aims) next(now int64, need float64) *Waiter {
	first, newest := a.ends(now, need)
	if first == nil {
		return a.late()
	}
	if spare := float64(first.query.aim-now) - need; spare < brinkShare*need {
		return newest
	}
	return first
}

// ends returns, of the timely requests of the highest priority, the one whose
// time comes first and the one whose time comes last.
func (a *aims) ends(now int64, need float64) (first, last *Waiter) {
	for _, w := range a.all {
		switch {
		case !w.timely(now, need):
		case first == nil || w.rank() < first.rank():
			first, last = w, w
		case w.rank() > first.rank():
		case w.query.aim < first.query.aim:
			first = w
		case w.query.aim >= last.query.aim:
			last = w
		}
	}
	return first, last
}

// late returns the request of the highest priority whose deadline comes first.
func (a *aims) late() *Waiter {
	var best *Waiter
	for _, w := range a.all {
		if best == nil || w.rank() < best.rank() || w.rank() == best.rank() && w.query.deadline < best.query.deadline {
			best = w
		}
	}
	return best
}

func (a *aims) remove(w *Waiter) {
	if at := slices.Index(a.all, w); at >= 0 {
		a.all = slices.Delete(a.all, at, at+1)
	}
}

// hopeless returns the requests to refuse: those whose deadline cannot be met,
// and of those that missed their aim the ones for which there is no room.
func (a *aims) hopeless(now int64, need float64, room int) []*Waiter {
	var refused, late []*Waiter
	for _, w := range a.all {
		switch {
		case w.query.deadline != 0 && float64(w.query.deadline-now) < need:
			refused = append(refused, w)
		case !w.timely(now, need):
			late = append(late, w)
		}
	}
	if len(late) <= room {
		return refused
	}
	slices.SortStableFunc(late, func(a, b *Waiter) int {
		if a.rank() != b.rank() {
			return int(a.rank()) - int(b.rank())
		}
		return int((b.query.aim - a.query.aim) / int64(time.Millisecond)) // the ones held longest go
	})
	return append(refused, late[room:]...)
}

// lateRoom returns how many requests that missed their aim may wait.
func (d *Dispatcher) lateRoom(view *View) int {
	gap := view.norm.gap.get()
	if gap == 0 {
		return d.router.limits.QueueLength
	}
	return max(int(float64(lateSpan)/gap), 1)
}

// dispatchAims gives free instances to waiting requests with an aim. The lock
// is held.
func (d *Dispatcher) dispatchAims(now int64) {
	terms := d.router.terms(d.service)
	view := d.router.views.Load(d.service)
	if view == nil {
		for _, w := range slices.Clone(d.aims.all) {
			d.refuseWaiter(w, d.none())
		}
		return
	}
	need := d.need(view)
	for _, w := range d.aims.hopeless(now, need, d.lateRoom(view)) {
		d.refuseWaiter(w, outcome.New(outcome.NotRun, outcome.Overload, "shed: the answer would come too late"))
	}
	for len(d.aims.all) > 0 {
		w := d.aims.next(now, need)
		ticket, at := d.choose(view, &w.query, terms, now)
		if at == AllBusy {
			return
		}
		if ticket == nil {
			d.refuseWaiter(w, d.none())
			continue
		}
		d.aims.remove(w)
		w.waits = false
		d.waiting.Add(-1)
		ticket.held = w.held
		ticket.waited = time.Duration(now - w.arrivedAt)
		w.granted(ticket, nil)
	}
}
