// Package route selects the instance that a request is sent to.
//
// A Router holds one immutable View of each service behind an atomic pointer;
// selection takes no lock and allocates nothing. A Policy is pure: given a
// view, the time and a random source, it returns the position of one member,
// or reports that every member is at its limit. Requests that find every member
// at its limit wait at this host, in a bounded queue, for the next free slot.
//
// Usage:
//
//	views := &route.Views{}
//	router := route.NewRouter(views, route.NewAdaptive(), route.WithTerms(terms))
//	ticket, err := router.Acquire(ctx, route.NewQuery("catalogue", terms, caller, zone))
//	defer ticket.Finish(route.Report{Latency: took})
//	dial(ticket.Instance().Address())
//
// A simulation that runs in virtual time calls Offer instead of Acquire and
// passes its own clock and random source to the router.
package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/steady"
)

// Router selects an instance for each attempt of a request and issues a Ticket for it.
type Router struct {
	views      *Views
	policy     Policy
	policies   *policyTable
	terms      func(service string) *contract.Service
	share      func(service string) float64
	host       string
	warmDelay  int64
	probe      ProbeFunc
	probeTime  atomicFloat // typical duration of a pre-dispatch probe, nanoseconds
	clock      func() int64
	random     Random
	trace      bool
	limits     Limits
	limited    func(m Member, limit RateLimit)
	steady     func() int64   // time by which retries are counted, see steady.Clock
	retryGrant RetryGrantFunc // nil: nobody grants
	grant      GrantFunc      // nil: nobody grants
	// coldWaiting is signalled when a request waits that may need a grant to a cold instance.
	coldWaiting chan struct{}
	gate        Gate         // nil: every request is admitted
	cutoff      atomic.Int64 // Unix nanoseconds, 0 for none

	mu          sync.Mutex
	dispatchers atomic.Pointer[map[string]*Dispatcher]
}

// Limits bounds the queue and outlier ejection.
type Limits struct {
	QueueLength int           // maximum number of requests of one service that wait at this host
	MaxWait     time.Duration // maximum time in the queue
	MaxBypass   int           // times that the oldest waiting request may be bypassed by others
	MaxEjected  float64       // share of a service's instances that may be ejected
}

// DefaultLimits returns the limits that apply unless WithLimits is used.
func DefaultLimits() Limits {
	return Limits{QueueLength: 1024, MaxWait: 10 * time.Second, MaxBypass: 16, MaxEjected: 0.4}
}

// Option changes one property of a router.
type Option func(*Router)

// WithClock sets the source of Unix nanoseconds.
func WithClock(clock func() int64) Option {
	return func(r *Router) { r.clock, r.steady = clock, clock }
}

// WithRandom sets the random source; it is called from many goroutines.
func WithRandom(next func() uint64) Option { return func(r *Router) { r.random = NewRandom(next) } }

// WithTerms sets the function that returns the terms of a service.
func WithTerms(terms func(service string) *contract.Service) Option {
	return func(r *Router) { r.terms = terms }
}

// WithShare sets the function that returns this host's share of fleet-wide limits.
func WithShare(share func(service string) float64) Option { return func(r *Router) { r.share = share } }

// WithPolicies sets the lookup of the policy that a service's terms name.
func WithPolicies(policies func(name string) Policy) Option {
	return func(r *Router) { r.policies = newPolicyTable(policies) }
}

// WithLimits sets the bounds of the queue and of outlier ejection.
func WithLimits(l Limits) Option { return func(r *Router) { r.limits = l } }

// WithoutTrace disables recording the candidates of each selection.
func WithoutTrace() Option { return func(r *Router) { r.trace = false } }

// NewRouter returns a router over the views.
func NewRouter(views *Views, policy Policy, opts ...Option) *Router {
	r := &Router{
		limited: func(Member, RateLimit) {}, coldWaiting: make(chan struct{}, 1),
		views: views, policy: policy, policies: newPolicyTable(ByName), terms: defaultTermsOf, share: wholeShare, trace: true, limits: DefaultLimits(),
		clock:  func() int64 { return time.Now().UnixNano() },
		steady: steady.New().Now,
		random: NewRandom(rand.Uint64),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.warmDelay = warmDelay(r.host)
	r.dispatchers.Store(&map[string]*Dispatcher{})
	views.subscribe(r.refresh)
	return r
}

func wholeShare(string) float64 { return 1 }

var defaultTerms = contract.NewService("")

func defaultTermsOf(string) *contract.Service { return defaultTerms }

// Acquire selects an instance and counts the attempt as in flight there. If
// every instance is at its limit, it waits until one is free, the context ends
// or the deadline can no longer be met. The error is an *outcome.Problem.
func (r *Router) Acquire(ctx context.Context, q Query) (*Ticket, error) {
	granted := make(chan grant, 1)
	if deadline, ok := ctx.Deadline(); ok && q.deadline == 0 {
		q.deadline = deadline.UnixNano()
	}
	probes := r.Dispatcher(q.service).sendProbes(ctx, &q)
	ticket, waiter, err := r.Offer(q, func(t *Ticket, err error) { granted <- grant{t, err} })
	if err != nil {
		return nil, err
	}
	if ticket != nil {
		ticket.probes = probes
		return ticket, nil
	}
	timeout := time.NewTimer(r.limits.MaxWait)
	defer timeout.Stop()
	select {
	case g := <-granted:
		if g.ticket != nil {
			g.ticket.probes = probes
		}
		return g.result()
	case <-ctx.Done():
		return r.cancelWait(waiter, granted, outcome.DeadlineExceeded, "no instance of "+q.service+" became free before the deadline")
	case <-timeout.C:
		return r.cancelWait(waiter, granted, outcome.Overload, "no instance of "+q.service+" became free within the queue timeout")
	}
}

// cancelWait ends a wait. If a ticket was granted concurrently, it is returned instead.
func (r *Router) cancelWait(w *Waiter, granted <-chan grant, reason outcome.Reason, detail string) (*Ticket, error) {
	if w.Cancel() {
		problem := outcome.New(outcome.NotRun, reason, detail)
		r.refused(&w.query, problem)
		return nil, problem
	}
	return (<-granted).result()
}

type grant struct {
	ticket *Ticket
	err    error
}

func (g grant) result() (*Ticket, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.ticket, nil
}

// Offer is the non-blocking form of Acquire. It returns a ticket, an error, or a
// waiter, in which case granted is called once with a ticket or an error.
func (r *Router) Offer(q Query, granted func(*Ticket, error)) (*Ticket, *Waiter, error) {
	view := r.views.Load(q.service)
	if view == nil {
		return nil, nil, outcome.New(outcome.NotRun, outcome.NoInstance, "no instance of "+q.service+" has announced itself")
	}
	return r.Dispatcher(q.service).offer(view, q, granted)
}

// Dispatcher returns the dispatcher of a service.
func (r *Router) Dispatcher(service string) *Dispatcher {
	if d := (*r.dispatchers.Load())[service]; d != nil {
		return d
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.dispatchers.Load()
	if d := old[service]; d != nil {
		return d
	}
	next := make(map[string]*Dispatcher, len(old)+1)
	for name, d := range old {
		next[name] = d
	}
	d := newDispatcher(r, service)
	next[service] = d
	r.dispatchers.Store(&next)
	return d
}

// Waiting returns how many requests of a service wait at this host and how
// long the oldest one has waited.
func (r *Router) Waiting(service string) (int, time.Duration) {
	d := (*r.dispatchers.Load())[service]
	if d == nil {
		return 0, 0
	}
	return d.Waiting()
}

// RejectWaiting ends the wait of every request with a problem.
func (r *Router) RejectWaiting(problem error) {
	for _, d := range *r.dispatchers.Load() {
		d.rejectAll(problem)
	}
}

// EndEjections lets requests try ejected instances again, after failures that were not
// theirs.
func (r *Router) EndEjections() {
	now := r.clock()
	for _, view := range r.views.All() {
		for n := range view.members {
			if h := &view.members[n].load.health; h.state(now) == Ejected {
				h.release(now)
			}
		}
	}
}

// refresh runs after new views are published.
func (r *Router) refresh() {
	for _, d := range *r.dispatchers.Load() {
		d.refresh()
	}
}

// policyOf returns the policy that a service's terms name, or the default.
func (r *Router) policyOf(terms *contract.Service) Policy {
	name := terms.Policy()
	if name == "" || name == r.policy.Name() {
		return r.policy
	}
	if p := r.policies.get(name); p != nil {
		return p
	}
	return r.policy
}
