// Package route chooses the instance that a request goes to.
//
// A Router holds one immutable View of each service behind an atomic pointer;
// choosing takes no lock. A Policy is pure: it sees a view, the time and a
// random source, and returns the position of one member.
//
// Usage:
//
//	ticket, err := router.Acquire(ctx, route.NewQuery("catalogue", terms))
//	defer ticket.Finish(route.Report{...})
//	dial(ticket.Instance().Address())
package route

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// Load is what this host knows of one instance's load. It outlives views.
type Load struct {
	inFlight atomic.Int32
}

// InFlight returns the requests that this host has in flight at the instance.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Member is one instance of a view.
type Member struct {
	instance *instance.Instance
	load     *Load
}

// NewMember returns a member of a view.
func NewMember(i *instance.Instance, load *Load) Member { return Member{instance: i, load: load} }

// Instance returns what the instance announced.
func (m Member) Instance() *instance.Instance { return m.instance }

// Load returns what this host knows of the instance's load.
func (m Member) Load() *Load { return m.load }

// View is the immutable list of a service's instances.
type View struct {
	service string
	members []Member
}

// NewView returns a view of a service.
func NewView(service string, members []Member) *View {
	return &View{service: service, members: members}
}

// Service returns the service's name.
func (v *View) Service() string { return v.service }

// Members returns the instances.
func (v *View) Members() []Member { return v.members }

// Views holds the current view of each service.
type Views struct {
	current atomic.Pointer[map[string]*View]
}

// Store publishes new views.
func (v *Views) Store(views map[string]*View) { v.current.Store(&views) }

// Load returns the view of a service, or nil.
func (v *Views) Load(service string) *View {
	views := v.current.Load()
	if views == nil {
		return nil
	}
	return (*views)[service]
}

// All returns the views of all services.
func (v *Views) All() map[string]*View {
	views := v.current.Load()
	if views == nil {
		return nil
	}
	return *views
}

// Query asks for an instance for one attempt of a request.
type Query struct {
	service  string
	contract *contract.Contract
	caller   string
	zone     string
	exclude  []instance.ID
}

// NewQuery returns a query.
func NewQuery(service string, terms *contract.Contract, caller, zone string, exclude ...instance.ID) Query {
	return Query{service: service, contract: terms, caller: caller, zone: zone, exclude: exclude}
}

// Service returns the service that is asked for.
func (q Query) Service() string { return q.service }

// Contract returns the request's contract.
func (q Query) Contract() *contract.Contract { return q.contract }

// Caller returns the caller's identity.
func (q Query) Caller() string { return q.caller }

// Zone returns the zone of the asking host.
func (q Query) Zone() string { return q.zone }

// Excludes reports whether an earlier attempt used the instance.
func (q Query) Excludes(id instance.ID) bool {
	for _, one := range q.exclude {
		if one == id {
			return true
		}
	}
	return false
}

// NoMember is returned by a policy that finds no instance to choose.
const NoMember = -1

// Policy chooses a member of a view.
type Policy interface {
	// Name returns the name used in settings and rules.
	Name() string
	// Choose returns the position of a member, or NoMember. now is in Unix
	// nanoseconds.
	Choose(view *View, query Query, now int64, random *rand.Rand) int
}

// Report is what came of one attempt.
type Report struct {
	Latency time.Duration // from dispatch to the first byte of the answer
	Failed  bool          // the answer is an error of the instance, or there is none
	Lost    bool          // the link broke or went silent
	// Reported is the load that the answer carried, valid if HasReport.
	Reported  int
	HasReport bool
}

// Ticket is the right to send one attempt to one instance.
type Ticket struct {
	member Member
	reason string
	waited time.Duration
}

// Instance returns the chosen instance.
func (t *Ticket) Instance() *instance.Instance { return t.member.instance }

// Reason says why the instance was chosen.
func (t *Ticket) Reason() string { return t.reason }

// Waited returns how long the request waited for the instance.
func (t *Ticket) Waited() time.Duration { return t.waited }

// Finish ends the attempt. It is called exactly once.
func (t *Ticket) Finish(Report) { t.member.load.inFlight.Add(-1) }

// Router gives out tickets.
type Router struct {
	views  *Views
	policy Policy
}

// NewRouter returns a router over the views.
func NewRouter(views *Views, policy Policy) *Router { return &Router{views: views, policy: policy} }

// Acquire chooses an instance and counts the attempt as in flight there. The
// error is an *outcome.Problem.
func (r *Router) Acquire(_ context.Context, q Query) (*Ticket, error) {
	view := r.views.Load(q.service)
	if view == nil {
		return nil, outcome.New(outcome.NotRun, outcome.NoInstance, "no instance of "+q.service+" has announced itself")
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	at := r.policy.Choose(view, q, time.Now().UnixNano(), random)
	if at == NoMember {
		return nil, outcome.New(outcome.NotRun, outcome.NoInstance, "no instance of "+q.service+" takes requests")
	}
	member := view.members[at]
	member.load.inFlight.Add(1)
	return &Ticket{member: member, reason: r.policy.Name()}, nil
}
