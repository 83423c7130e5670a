// Package registry keeps the instances that announced themselves, directly or
// through another entry host, and publishes the views that requests read.
//
// Usage:
//
//	reg := registry.New("entry-1", views)
//	granted := reg.Announce(announcement, time.Now())
//	reg.Expire(time.Now())
package registry

import (
	"sort"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// LeaseTime is how long an announcement holds unless it is renewed.
const LeaseTime = 3 * time.Second

// Registry holds the instances known to one entry host.
type Registry struct {
	host  string
	views *route.Views

	mu        sync.Mutex
	instances map[string]*record
}

type record struct {
	message *wire.Instance
	load    *route.Load
}

// New returns a registry that publishes to the views.
func New(host string, views *route.Views) *Registry {
	return &Registry{host: host, views: views, instances: map[string]*record{}}
}

// Announce takes an announcement that this host heard itself and returns it
// with the lease that it was given.
func (r *Registry) Announce(message *wire.Instance, now time.Time) *wire.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	message.HeardBy = r.host
	message.LeaseUntil = now.Add(LeaseTime).UnixNano()
	if old := r.instances[message.GetId()]; old != nil {
		message.Revision = old.message.GetRevision() + 1
	}
	r.put(message)
	return message
}

// Merge takes announcements that another entry host heard.
func (r *Registry) Merge(messages []*wire.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, message := range messages {
		old := r.instances[message.GetId()]
		if old == nil || newer(message, old.message) {
			r.put(message)
		}
	}
}

func newer(a, b *wire.Instance) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetRevision() > b.GetRevision()
}

// Expire removes instances whose lease has ended.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, one := range r.instances {
		if one.message.GetLeaseUntil() <= now.UnixNano() {
			delete(r.instances, id)
			changed = true
		}
	}
	if changed {
		r.publish()
	}
}

// All returns every announcement known.
func (r *Registry) All() []*wire.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*wire.Instance, 0, len(r.instances))
	for _, one := range r.instances {
		all = append(all, one.message)
	}
	return all
}

func (r *Registry) put(message *wire.Instance) {
	if message.GetGone() {
		delete(r.instances, message.GetId())
		r.publish()
		return
	}
	old := r.instances[message.GetId()]
	next := &record{message: message, load: &route.Load{}}
	if old != nil && old.message.GetIncarnation() == message.GetIncarnation() {
		next.load = old.load
	}
	r.instances[message.GetId()] = next
	r.publish()
}

func (r *Registry) publish() {
	byService := map[string][]route.Member{}
	for _, one := range r.instances {
		member := route.NewMember(instance.FromWire(one.message), one.load)
		service := member.Instance().Service()
		byService[service] = append(byService[service], member)
	}
	views := make(map[string]*route.View, len(byService))
	for service, members := range byService {
		sort.Slice(members, func(i, j int) bool { return members[i].Instance().ID() < members[j].Instance().ID() })
		views[service] = route.NewView(service, members)
	}
	r.views.Store(views)
}
