// Package registry folds what membership learns of instances into the views
// that requests read. A change rebuilds the view of its service alone; what is
// known of an instance's load outlives views, changes of address and short
// silences, and ends with the incarnation.
//
// Usage:
//
//	reg := registry.New(views)
//	reg.Update([]registry.Change{registry.Announced(message), registry.Lost("catalogue-2")})
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

// Change is a new record of one instance.
type Change struct {
	id      instance.ID
	message *wire.Instance // nil: the instance is not to be used
}

// Announced returns the change to a new record.
func Announced(message *wire.Instance) Change {
	return Change{id: instance.ID(message.GetId()), message: message}
}

// Removed returns the change of an instance that is not to be used any more.
func Removed(id string) Change { return Change{id: instance.ID(id)} }

// Registry holds the instances that this host may use.
type Registry struct {
	views *route.Views

	mu      sync.Mutex
	members map[instance.ID]route.Member
	retired map[instance.ID]route.Member // lost with requests in flight
}

// New returns a registry that publishes to the views.
func New(views *route.Views) *Registry {
	return &Registry{views: views, members: map[instance.ID]route.Member{}, retired: map[instance.ID]route.Member{}}
}

// Len returns the number of instances that may be used.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// Update takes changes and publishes the views of the services concerned.
func (r *Registry) Update(changes []Change) {
	if len(changes) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	concerned := map[string]bool{}
	for _, change := range changes {
		r.take(change, concerned)
	}
	r.forgetRetired()
	if len(concerned) > 0 {
		r.publish(concerned)
	}
}

func (r *Registry) take(change Change, concerned map[string]bool) {
	old, known := r.members[change.id]
	if change.message == nil {
		if known {
			concerned[old.Instance().Service()] = true
			delete(r.members, change.id)
			r.retired[change.id] = old
		}
		return
	}
	next := instance.FromWire(change.message)
	if known && *old.Instance() == *next {
		return
	}
	if !known {
		old, known = r.retired[change.id]
		delete(r.retired, change.id)
	} else {
		concerned[old.Instance().Service()] = true
	}
	load := &route.Load{}
	if known && old.Instance().Incarnation() == next.Incarnation() {
		load = old.Load()
	}
	concerned[next.Service()] = true
	r.members[change.id] = route.NewMember(next, load)
}

// forgetRetired drops the loads of lost instances once nothing is in flight.
func (r *Registry) forgetRetired() {
	for id, member := range r.retired {
		if member.Load().InFlight() == 0 {
			delete(r.retired, id)
		}
	}
}

func (r *Registry) publish(concerned map[string]bool) {
	views := maps.Clone(r.views.All())
	if views == nil {
		views = map[string]*route.View{}
	}
	byService := r.group(concerned)
	for service := range concerned {
		if len(byService[service]) == 0 {
			delete(views, service)
			continue
		}
		views[service] = route.NewView(service, byService[service])
	}
	r.views.Store(views)
}

func (r *Registry) group(concerned map[string]bool) map[string][]route.Member {
	byService := map[string][]route.Member{}
	for _, member := range r.members {
		service := member.Instance().Service()
		if concerned[service] {
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
