package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/outcome"
)

// Dispatcher gives out the instances of one service at this host. As long as
// nobody waits it takes no lock.
type Dispatcher struct {
	router  *Router
	service string
	waiting atomic.Int32

	mu    sync.Mutex
	queue *waitlist
}

func newDispatcher(r *Router, service string) *Dispatcher {
	return &Dispatcher{router: r, service: service, queue: newWaitlist(r.limits.Bypass)}
}

// offer gives out a ticket at once, or queues the request.
func (d *Dispatcher) offer(view *View, q Query, granted func(*Ticket, error)) (*Ticket, *Waiter, error) {
	now := d.router.clock()
	if d.waiting.Load() == 0 {
		ticket, at := d.choose(view, &q, now)
		if ticket != nil {
			return ticket, nil, nil
		}
		if at == NoMember {
			return nil, nil, d.none()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if problem := d.refuse(&q, view, now); problem != nil {
		return nil, nil, problem
	}
	w := &Waiter{dispatcher: d, query: q, arrivedAt: now, granted: granted}
	d.queue.push(w)
	d.waiting.Add(1)
	// A slot may have become free between the choice and the push.
	d.dispatch(now)
	return nil, w, nil
}

func (d *Dispatcher) none() error {
	return outcome.New(outcome.NotRun, outcome.NoInstance, "no instance of "+d.service+" takes requests")
}

// choose asks the policy and counts the attempt.
func (d *Dispatcher) choose(view *View, q *Query, now int64) (*Ticket, int) {
	policy := d.router.policyOf(d.service)
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
	t.dispatcher, t.policy, t.why, t.caller, t.level = d, policy.Name(), policy.Why(), q.caller, float64(n)
	return t, at
}

// Times of shedding, in mean service times of the service.
const shedMargin = 2.0

// refuse returns a problem if the request cannot be answered in time or the
// queue is full.
func (d *Dispatcher) refuse(q *Query, view *View, now int64) error {
	waiting := d.queue.len()
	if waiting >= d.router.limits.Waiting {
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

// margin is the time that an answer takes once the request was sent.
func (d *Dispatcher) margin(view *View) float64 {
	return view.norm.latency.get() + shedMargin*view.norm.spread.get()
}

// dispatch gives free instances to waiting requests. The lock is held.
func (d *Dispatcher) dispatch(now int64) {
	for d.queue.len() > 0 {
		view := d.router.views.Load(d.service)
		w := d.queue.next()
		if view == nil {
			d.remove(w)
			w.granted(nil, d.none())
			continue
		}
		if w.query.deadline != 0 && float64(now)+d.margin(view) > float64(w.query.deadline) {
			d.remove(w)
			w.granted(nil, outcome.New(outcome.NotRun, outcome.Overload, "shed: the deadline could not be met any more"))
			continue
		}
		ticket, at := d.choose(view, &w.query, now)
		if at == AllBusy {
			return
		}
		if ticket == nil {
			d.remove(w)
			w.granted(nil, d.none())
			continue
		}
		d.queue.grant(w)
		d.waiting.Add(-1)
		ticket.waited = time.Duration(now - w.arrivedAt)
		w.granted(ticket, nil)
	}
}

func (d *Dispatcher) remove(w *Waiter) {
	d.queue.remove(w)
	d.waiting.Add(-1)
}

// finish learns from an attempt and gives its place to a waiting request.
func (d *Dispatcher) finish(t *Ticket, report Report) {
	now := d.router.clock()
	d.learn(t, report, now)
	t.member.load.inFlight.Add(-1)
	if d.waiting.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch(now)
}

func (d *Dispatcher) learn(t *Ticket, report Report, now int64) {
	load := t.member.load
	slots := float64(t.member.instance.Slots())
	most := slots + maxHeadroom
	view := d.router.views.Load(d.service)
	if report.HasReport && !report.Failed {
		load.compare(report.Reported, float64(report.Latency), expectedAt(view, report.Reported, slots))
		load.SetReported(report.Reported, now)
	}
	if report.Failed || report.Lost {
		load.shrink(most)
		load.addPenalty(slots, now)
		if load.health.fail(now) {
			d.eject(view, load, now)
		}
		return
	}
	load.health.succeed(now)
	load.grow(most)
	service := load.observe(float64(report.Latency), t.level, slots, now)
	if view != nil {
		view.norm.observe(service)
		view.norm.completed(now)
	}
}

// expectedAt returns the mean latency at a reported load, 0 if unknown.
func expectedAt(view *View, reported int, slots float64) float64 {
	if view == nil {
		return 0
	}
	return view.norm.Latency() * max(1, float64(reported+1)/slots)
}

// eject ejects an instance unless too many are ejected already.
func (d *Dispatcher) eject(view *View, load *Load, now int64) {
	if view == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ejected := 0
	for n := range view.members {
		if l := view.members[n].load; l != load && l.health.state(now) == Ejected {
			ejected++
		}
	}
	if ejected+1 > d.mayEject(view) {
		return
	}
	load.health.eject(now)
}

// mayEject returns how many instances of a view may be ejected at once.
func (d *Dispatcher) mayEject(view *View) int {
	return int(math.Floor(float64(len(view.members)) * d.router.limits.MaxEjected))
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

func (d *Dispatcher) releaseEjected(view *View, now int64) {
	left := d.mayEject(view)
	for n := range view.members {
		h := &view.members[n].load.health
		if h.state(now) != Ejected {
			continue
		}
		if left == 0 {
			h.release(now)
			continue
		}
		left--
	}
}

// Waiting returns how many requests wait and how long the oldest has waited.
func (d *Dispatcher) Waiting() (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := d.queue.oldest()
	if oldest == nil {
		return 0, 0
	}
	return d.queue.len(), time.Duration(d.router.clock() - oldest.arrivedAt)
}
