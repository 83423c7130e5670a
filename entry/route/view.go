package route

import (
	"sync"
	"sync/atomic"

	"github.com/snipebeam/snipebeam/world/instance"
)

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
	norm    *ServiceStats
}

// NewView returns a view of a service.
func NewView(service string, members []Member) *View {
	return &View{service: service, members: members, norm: &ServiceStats{}}
}

// Service returns the service's name.
func (v *View) Service() string { return v.service }

// Members returns the instances.
func (v *View) Members() []Member { return v.members }

// Stats returns the service's own level of latency.
func (v *View) Stats() *ServiceStats { return v.norm }

// Views holds the current view of each service.
type Views struct {
	current atomic.Pointer[map[string]*View]

	mu       sync.Mutex
	norms    map[string]*ServiceStats
	watchers []func()
}

// Store publishes new views. The level of a service outlives its views.
func (v *Views) Store(views map[string]*View) {
	v.mu.Lock()
	if v.norms == nil {
		v.norms = map[string]*ServiceStats{}
	}
	for service, view := range views {
		if v.norms[service] == nil {
			v.norms[service] = view.norm
		}
		if view.norm != v.norms[service] { // a view that was published before is not written
			view.norm = v.norms[service]
		}
	}
	v.current.Store(&views)
	watchers := v.watchers
	v.mu.Unlock()
	for _, changed := range watchers {
		changed()
	}
}

// watch calls a function after each change.
func (v *Views) watch(changed func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, changed)
}

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
