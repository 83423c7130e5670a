package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Dispatcher gives out the instances of one service at this host. As long as
// nobody waits it takes no lock.
type Dispatcher struct {
	router  *Router
	service string
	waiting atomic.Int32
	limits  *admission
	among   atomic.Pointer[subset]

	mu    sync.Mutex
	queue *waitlist
	aims  aims
}

func newDispatcher(r *Router, service string) *Dispatcher {
	return &Dispatcher{router: r, service: service, queue: newWaitlist(r.limits.MaxBypass), limits: newAdmission()}
}

// offer gives out a ticket at once, or queues the request.
func (d *Dispatcher) offer(view *View, q Query, granted func(*Ticket, error)) (*Ticket, *Waiter, error) {
	now := d.router.clock()
	terms := d.router.terms(d.service)
	held, problem := d.limits.admit(&q, terms, d.share(&q, terms), now)
	if problem != nil {
		return nil, nil, problem
	}
	if d.waiting.Load() == 0 {
		ticket, at := d.choose(view, &q, terms, now)
		if ticket != nil {
			ticket.held = held
			return ticket, nil, nil
		}
		if at == NoMember {
			held.leave()
			return nil, nil, d.none()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.aim != 0 {
		return nil, d.await(q, held, granted, now), nil
	}
	if problem := d.refuse(&q, view, now); problem != nil {
		held.leave()
		return nil, nil, problem
	}
	w := &Waiter{dispatcher: d, query: q, held: held, arrivedAt: now, granted: granted}
	d.queue.push(w)
	d.waiting.Add(1)
	// A slot may have become free between the choice and the push.
	d.dispatch(now)
	return nil, w, nil
}

// await queues a request with an aim. The lock is held.
func (d *Dispatcher) await(q Query, held pass, granted func(*Ticket, error), now int64) *Waiter {
	w := &Waiter{dispatcher: d, query: q, held: held, arrivedAt: now, granted: granted, waits: true}
	d.aims.all = append(d.aims.all, w)
	d.waiting.Add(1)
	d.dispatch(now)
	return w
}

// share returns this host's part of limits that hold for all hosts together.
func (d *Dispatcher) share(q *Query, terms *contract.Service) float64 {
	if !limited(q, terms) {
		return 1
	}
	return d.router.share(d.service)
}

func (d *Dispatcher) none() error {
	return outcome.New(outcome.NotRun, outcome.NoInstance, "no instance of "+d.service+" takes requests")
}

// choose asks the policy and counts the attempt.
func (d *Dispatcher) choose(view *View, q *Query, terms *contract.Service, now int64) (*Ticket, int) {
	if d.limits.full(terms, d.share(q, terms)) {
		return nil, AllBusy
	}
	policy := d.router.policyOf(terms)
	q.among = d.subset(view, q.zone)
	t := &Ticket{}
	if d.router.trace {
		t.trace = &Trace{}
	}
	at := policy.Choose(view, q, now, d.router.random, t.trace)
	if at < 0 {
		return nil, at
	}
	t.member = view.members[at]
	n := t.member.load.inFlight.Add(1)
	d.limits.inFlight.Add(1)
	t.dispatcher, t.policy, t.why, t.level = d, policy.Name(), policy.Reason(), float64(n)
	t.work = t.member.load.pace.now(now)
	return t, at
}

// dispatch gives free instances to waiting requests. The lock is held.
func (d *Dispatcher) dispatch(now int64) {
	if len(d.aims.all) > 0 {
		d.dispatchAims(now)
	}
	terms := d.router.terms(d.service)
	for d.queue.len() > 0 {
		view := d.router.views.Load(d.service)
		w := d.queue.next()
		if view == nil {
			d.refuseWaiter(w, d.none())
			continue
		}
		if w.query.deadline != 0 && float64(now)+d.margin(view) > float64(w.query.deadline) {
			d.refuseWaiter(w, outcome.New(outcome.NotRun, outcome.Overload, "shed: the deadline could not be met any more"))
			continue
		}
		ticket, at := d.choose(view, &w.query, terms, now)
		if at == AllBusy {
			return
		}
		if ticket == nil {
			d.refuseWaiter(w, d.none())
			continue
		}
		d.queue.grant(w)
		d.waiting.Add(-1)
		ticket.held = w.held
		ticket.waited = time.Duration(now - w.arrivedAt)
		w.granted(ticket, nil)
	}
}

// remove takes a waiter out of the queue without a ticket.
func (d *Dispatcher) remove(w *Waiter) {
	if w.waits {
		w.waits = false
		d.aims.remove(w)
	} else {
		d.queue.remove(w)
	}
	d.waiting.Add(-1)
	w.held.leave()
}

func (d *Dispatcher) refuseWaiter(w *Waiter, problem error) {
	d.remove(w)
	w.granted(nil, problem)
}

// finish learns from an attempt and gives its place to a waiting request.
func (d *Dispatcher) finish(t *Ticket, report Report) {
	now := d.router.clock()
	d.learn(t, report, now)
	t.member.load.inFlight.Add(-1)
	d.limits.inFlight.Add(-1)
	t.held.leave()
	if d.waiting.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch(now)
}

// refresh runs after the service's view changed: the ejected share of a
// smaller view is kept within its bound, and new instances take requests.
func (d *Dispatcher) refresh() {
	view := d.router.views.Load(d.service)
	now := d.router.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if view != nil {
		d.releaseEjected(view, now)
	}
	d.dispatch(now)
}

// Waiting returns how many requests wait and how long the oldest has waited.
func (d *Dispatcher) Waiting() (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := d.queue.oldest()
	if len(d.aims.all) > 0 && (oldest == nil || d.aims.all[0].arrivedAt < oldest.arrivedAt) {
		oldest = d.aims.all[0]
	}
	if oldest == nil {
		return 0, 0
	}
	return d.queue.len() + len(d.aims.all), time.Duration(d.router.clock() - oldest.arrivedAt)
}
