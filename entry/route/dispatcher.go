package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Dispatcher assigns requests to the instances of one service at this host. It
// takes no lock while no request waits.
type Dispatcher struct {
	router      *Router
	service     string
	waiting     atomic.Int32
	limits      *limiter
	subsetCache atomic.Pointer[subset]
	demand      demand
	coldDemand  demand // of requests that found no instance that is not cold
	grants      grantState
	retryGrants retryGrants

	mu        sync.Mutex
	queue     *requestQueue
	softQueue softDeadlineQueue
}

func newDispatcher(r *Router, service string) *Dispatcher {
	return &Dispatcher{router: r, service: service, queue: newRequestQueue(r.limits.MaxBypass), limits: newLimiter()}
}

// offer returns a ticket if an instance is free, and queues the request otherwise.
func (d *Dispatcher) offer(view *View, q Query, granted func(*Ticket, error)) (*Ticket, *Waiter, error) {
	now := d.router.clock()
	d.demand.observe(now)
	if !d.router.endsBeforeCutoff(&q) && d.router.beyondCutoff(now, d.responseTime(view)) {
		return nil, nil, d.cutOffProblem()
	}
	terms := d.router.terms(d.service)
	admitted, problem := d.limits.admit(&q, terms, d.share(&q, terms), now)
	if problem != nil {
		return nil, nil, problem
	}
	// After the limits: what they refuse is no demand for the capacity.
	if problem := d.router.admit(&q); problem != nil {
		admitted.release()
		return nil, nil, problem
	}
	if !q.repeated {
		_, window := terms.RetryAllowance()
		d.limits.retries.Earn(terms.RetryBudget(), window, d.router.steady())
	}
	if d.waiting.Load() == 0 {
		ticket, at := d.choose(view, &q, terms, now)
		if ticket != nil {
			ticket.permit = admitted
			d.observeColdDemand(&q, &ticket.member, now)
			return ticket, nil, nil
		}
		if at == NoMember {
			admitted.release()
			return nil, nil, d.noInstance(view)
		}
	}
	q.coldRate = terms.ColdRate()
	d.observeColdDemand(&q, nil, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.ranked {
		return d.enqueueRanked(view, q, admitted, granted, now)
	}
	if q.softDeadline != 0 {
		return nil, d.enqueueSoft(q, admitted, granted, now), nil
	}
	if problem := d.checkQueue(&q, view, now); problem != nil {
		admitted.release()
		return nil, nil, problem
	}
	w := &Waiter{dispatcher: d, query: q, permit: admitted, arrivedAt: now, granted: granted}
	d.queue.push(w)
	d.waiting.Add(1)
	// A slot may have become free between the selection and the push.
	d.dispatch(now)
	return nil, w, nil
}

// enqueueSoft queues a request that has a soft deadline. The caller holds the lock.
func (d *Dispatcher) enqueueSoft(q Query, admitted permit, granted func(*Ticket, error), now int64) *Waiter {
	w := &Waiter{dispatcher: d, query: q, permit: admitted, arrivedAt: now, granted: granted, inSoftQueue: true}
	d.softQueue.all = append(d.softQueue.all, w)
	d.waiting.Add(1)
	d.dispatch(now)
	return w
}

// share returns this host's share of fleet-wide limits.
func (d *Dispatcher) share(q *Query, terms *contract.Service) float64 {
	if !hasLimits(q, terms) {
		return 1
	}
	return d.router.share(d.service)
}

func (d *Dispatcher) noInstance(view *View) error {
	if view != nil && len(view.members) > 0 && view.staying == 0 {
		return outcome.New(outcome.NotRun, outcome.NoInstance, "all instances of "+d.service+" are in evacuated zones")
	}
	return outcome.New(outcome.NotRun, outcome.NoInstance, "no instance of "+d.service+" takes requests")
}

// choose selects a member by the policy and counts the attempt as in flight.
func (d *Dispatcher) choose(view *View, q *Query, terms *contract.Service, now int64) (*Ticket, int) {
	if d.limits.full(terms, d.share(q, terms)) {
		return nil, AllBusy
	}
	policy := d.router.policyOf(terms)
	q.preferred, q.slowService = d.subset(view, q.zone), view.stats.slow(now)
	q.coldRate, q.warmDelay = terms.ColdRate(), d.router.warmDelay
	t := &Ticket{}
	if q.ranked {
		t.ranked, t.kind, t.flow = true, view.stats.kinds.of(q), q.flow()
	}
	if d.router.trace {
		t.trace = &Trace{}
	}
	at := policy.Choose(view, q, now, d.router.random, t.trace)
	for at >= 0 {
		taken, ok := view.members[at].takeRequest(q.coldRate, now)
		if ok {
			t.taken = taken
			break
		}
		t.trace.reset() // another request was quicker
		at = policy.Choose(view, q, now, d.router.random, t.trace)
	}
	if at < 0 {
		return nil, at
	}
	t.member, t.view = view.members[at], view
	n := t.member.load.inFlight.Add(1)
	d.limits.inFlight.Add(1)
	t.dispatcher, t.policy, t.reason, t.inFlight = d, policy.Name(), policy.Reason(), float64(n)
	t.work = t.member.load.work.read(now)
	return t, at
}

// dispatch assigns free instances to waiting requests. The caller holds the lock.
func (d *Dispatcher) dispatch(now int64) {
	d.rejectCutOff(now)
	if len(d.softQueue.all) > 0 {
		d.dispatchSoftQueue(now)
	}
	terms := d.router.terms(d.service)
	for d.queue.len() > 0 {
		view := d.router.views.Load(d.service)
		w := d.queue.next()
		if view == nil {
			d.rejectWaiter(w, d.noInstance(nil))
			continue
		}
		if w.query.deadline != 0 && float64(now)+d.fullResponseTime(view) > float64(w.query.deadline) {
			d.rejectWaiter(w, outcome.New(outcome.NotRun, outcome.Overload, "shed: the deadline can no longer be met"))
			continue
		}
		ticket, at := d.choose(view, &w.query, terms, now)
		if at == AllBusy {
			return
		}
		if ticket == nil {
			d.rejectWaiter(w, d.noInstance(view))
			continue
		}
		d.queue.dequeue(w)
		d.waiting.Add(-1)
		ticket.permit = w.permit
		ticket.waited = time.Duration(now - w.arrivedAt)
		w.granted(ticket, nil)
	}
}

// remove takes a waiter out of its queue without granting a ticket.
func (d *Dispatcher) remove(w *Waiter) {
	if w.inSoftQueue {
		w.inSoftQueue = false
		d.softQueue.remove(w)
	} else {
		d.queue.remove(w)
	}
	d.waiting.Add(-1)
	w.permit.release()
}

// rejectAll rejects every waiting request.
func (d *Dispatcher) rejectAll(problem error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.softQueue.all) > 0 {
		d.rejectWaiter(d.softQueue.all[0], problem)
	}
	for d.queue.len() > 0 {
		d.rejectWaiter(d.queue.oldest(), problem)
	}
}

func (d *Dispatcher) rejectWaiter(w *Waiter, problem error) {
	d.remove(w)
	d.router.refused(&w.query, problem)
	w.granted(nil, problem)
}

// finish records the result of an attempt and dispatches waiting requests.
func (d *Dispatcher) finish(t *Ticket, report Report) {
	d.recordAttempt(t, report, d.router.clock())
	d.release(t)
}

// release frees the slots of a ticket and dispatches waiting requests.
func (d *Dispatcher) release(t *Ticket) {
	now := d.router.clock()
	t.member.load.inFlight.Add(-1)
	d.limits.inFlight.Add(-1)
	t.permit.release()
	if d.waiting.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch(now)
}

// refresh runs after the service's view has changed. It keeps the ejected share
// of a smaller view within its bound and dispatches to new instances.
func (d *Dispatcher) refresh() {
	view := d.router.views.Load(d.service)
	now := d.router.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if view != nil {
		d.releaseEjected(view, now)
		d.noteCold(view, now)
	}
	d.dispatch(now)
}

// Waiting returns how many requests wait and how long the oldest has waited.
func (d *Dispatcher) Waiting() (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := d.queue.oldest()
	if len(d.softQueue.all) > 0 && (oldest == nil || d.softQueue.all[0].arrivedAt < oldest.arrivedAt) {
		oldest = d.softQueue.all[0]
	}
	if oldest == nil {
		return 0, 0
	}
	return d.queue.len() + len(d.softQueue.all), time.Duration(d.router.clock() - oldest.arrivedAt)
}
