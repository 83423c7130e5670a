package route

import (
	"sync"
	"sync/atomic"

	"github.com/snipebeam/snipebeam/world/instance"
)

// Member is one instance of a view.
type Member struct {
	instance  *instance.Instance
	load      *Load
	evacuated bool // its zone is evacuated: it counts as draining
}

// NewMember returns a member of a view.
func NewMember(i *instance.Instance, load *Load) Member { return Member{instance: i, load: load} }

// WithEvacuated returns the member with whether its zone is evacuated.
func (m Member) WithEvacuated(evacuated bool) Member {
	m.evacuated = evacuated
	return m
}

// Evacuated reports whether the member's zone is evacuated, so that it gets no requests.
func (m Member) Evacuated() bool { return m.evacuated }

// draining reports whether the member gets no further requests, by its own announcement or
// because its zone is evacuated.
func (m *Member) draining() bool { return m.evacuated || m.instance.Draining() }

// Instance returns the instance as announced.
func (m Member) Instance() *instance.Instance { return m.instance }

// Load returns this host's load estimate for the instance.
func (m Member) Load() *Load { return m.load }

// View is the immutable list of a service's instances.
type View struct {
	service string
	members []Member
	staying int // members outside evacuated zones
	stats   *ServiceStats
}

// NewView returns a view of a service.
func NewView(service string, members []Member) *View {
	v := &View{service: service, members: members, stats: &ServiceStats{}}
	for n := range members {
		if !members[n].evacuated {
			v.staying++
		}
	}
	return v
}

// Service returns the service's name.
func (v *View) Service() string { return v.service }

// Members returns the instances.
func (v *View) Members() []Member { return v.members }

// Stats returns the statistics of the service.
func (v *View) Stats() *ServiceStats { return v.stats }

// Views holds the current view of each service.
type Views struct {
	current atomic.Pointer[map[string]*View]

	mu          sync.Mutex
	stats       map[string]*ServiceStats
	subscribers []func()
}

// Store publishes new views. The statistics of a service outlive its views.
func (v *Views) Store(views map[string]*View) {
	v.mu.Lock()
	if v.stats == nil {
		v.stats = map[string]*ServiceStats{}
	}
	for service, view := range views {
		if v.stats[service] == nil {
			v.stats[service] = view.stats
		}
		if view.stats != v.stats[service] { // a view that is already published is read concurrently and must not be written
			view.stats = v.stats[service]
		}
	}
	v.current.Store(&views)
	subscribers := v.subscribers
	v.mu.Unlock()
	for _, changed := range subscribers {
		changed()
	}
}

// subscribe registers a function that is called after each change.
func (v *Views) subscribe(changed func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, changed)
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
