// Package registry applies membership changes of instances to the views that
// requests are routed by. A change rebuilds only the view of its service. The load
// data of an instance is kept across views, changes of address and short absences,
// and is discarded with the incarnation.
//
// Usage:
//
//	reg := registry.New(views)
//	reg.Update([]registry.Change{registry.Announced(record), registry.Removed("catalogue-2")})
package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Change is a new record or the removal of one instance.
type Change struct {
	id     instance.ID
	record *wire.Instance // nil: the instance is removed
}

// Announced returns the change of an instance to a new record.
func Announced(record *wire.Instance) Change {
	return Change{id: instance.ID(record.GetId()), record: record}
}

// Removed returns the removal of an instance.
func Removed(id string) Change { return Change{id: instance.ID(id)} }

// Registry holds the instances available to this host.
type Registry struct {
	views *route.Views

	ended func(incarnation string)

	mu        sync.Mutex
	evacuated map[string]bool // by zone, replaced as a whole
	members   map[instance.ID]route.Member
	retired   map[instance.ID]route.Member  // removed with requests in flight
	byAddress map[string]*instance.Instance // the latest one, also after its removal
}

// minAddresses is the number of addresses from which those of removed instances are dropped, if
// they are more than half.
const minAddresses = 1024

// NewOption configures a registry.
type NewOption func(*Registry)

// WithEnded sets a function that is called with each incarnation of an instance that must have
// ended, as a later one uses its identifier or its address.
func WithEnded(ended func(incarnation string)) NewOption {
	return func(r *Registry) { r.ended = ended }
}

// New returns an empty registry that publishes to views.
func New(views *route.Views, opts ...NewOption) *Registry {
	r := &Registry{
		views: views, ended: func(string) {},
		members: map[instance.ID]route.Member{}, retired: map[instance.ID]route.Member{}, byAddress: map[string]*instance.Instance{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Len returns the number of available instances.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// Update applies changes and publishes the views of the affected services.
func (r *Registry) Update(changes []Change) {
	if len(changes) == 0 {
		return
	}
	for _, incarnation := range r.update(changes) {
		r.ended(incarnation)
	}
}

// update returns the incarnations that must have ended.
func (r *Registry) update(changes []Change) (ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	affected := map[string]bool{}
	for _, change := range changes {
		if change.record != nil {
			ended = append(ended, r.supersede(instance.FromWire(change.record))...)
		}
		r.apply(change, affected)
	}
	r.pruneRetired()
	if len(affected) > 0 {
		r.publish(affected)
	}
	return ended
}

// Evacuate sets the zones whose instances get no requests, and publishes the views of the
// services that have instances in zones whose state changes.
func (r *Registry) Evacuate(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		r.evacuated[zone] = true
	}
	affected := map[string]bool{}
	for id, member := range r.members {
		if evacuated := r.evacuated[member.Instance().Zone()]; evacuated != member.Evacuated() {
			r.members[id] = member.WithEvacuated(evacuated)
			affected[member.Instance().Service()] = true
		}
	}
	if len(affected) > 0 {
		r.publish(affected)
	}
}

// supersede records the address of an instance, and returns the incarnations before it that used
// its identifier or its address.
func (r *Registry) supersede(next *instance.Instance) (ended []string) {
	if old, exists := r.members[next.ID()]; exists && old.Instance().Incarnation() < next.Incarnation() {
		ended = append(ended, old.Instance().Incarnated())
	}
	if old := r.byAddress[next.Address()]; old != nil && old.ID() != next.ID() && old.Incarnation() <= next.Incarnation() {
		ended = append(ended, old.Incarnated())
	}
	r.byAddress[next.Address()] = next
	if len(r.byAddress) > max(minAddresses, 2*len(r.members)) {
		maps.DeleteFunc(r.byAddress, func(_ string, i *instance.Instance) bool {
			_, exists := r.members[i.ID()]
			return !exists && i != next
		})
	}
	return ended
}

func (r *Registry) apply(change Change, affected map[string]bool) {
	old, exists := r.members[change.id]
	if change.record == nil {
		if exists {
			affected[old.Instance().Service()] = true
			delete(r.members, change.id)
			r.retired[change.id] = old
		}
		return
	}
	next := instance.FromWire(change.record)
	if exists && *old.Instance() == *next {
		return
	}
	if !exists {
		old, exists = r.retired[change.id]
		delete(r.retired, change.id)
	} else {
		affected[old.Instance().Service()] = true
	}
	load := &route.Load{}
	if exists && old.Instance().Incarnation() == next.Incarnation() {
		load = old.Load()
	}
	affected[next.Service()] = true
	r.members[change.id] = route.NewMember(next, load).WithEvacuated(r.evacuated[next.Zone()])
}

// pruneRetired drops the load data of removed instances that have no requests in
// flight.
func (r *Registry) pruneRetired() {
	for id, member := range r.retired {
		if member.Load().InFlight() == 0 {
			delete(r.retired, id)
		}
	}
}

func (r *Registry) publish(affected map[string]bool) {
	views := maps.Clone(r.views.All())
	if views == nil {
		views = map[string]*route.View{}
	}
	byService := r.group(affected)
	for service := range affected {
		if len(byService[service]) == 0 {
			delete(views, service)
			continue
		}
		views[service] = route.NewView(service, byService[service])
	}
	r.views.Store(views)
}

func (r *Registry) group(affected map[string]bool) map[string][]route.Member {
	byService := map[string][]route.Member{}
	for _, member := range r.members {
		service := member.Instance().Service()
		if affected[service] {
			byService[service] = append(byService[service], member)
		}
	}
	for _, members := range byService {
		slices.SortFunc(members, func(a, b route.Member) int {
			return strings.Compare(string(a.Instance().ID()), string(b.Instance().ID()))
		})
	}
	return byService
}
