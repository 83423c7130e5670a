package registry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Membership feeds a registry with the records of instances that control hosts
// keep, in the order of their revisions.
type Membership struct {
	registry *Registry
	suspects *poison.Book

	mu    sync.Mutex
	known uint64

	active atomic.Int32
	parts  atomic.Pointer[map[string]route.Part]
}

// Active takes the number of entry hosts that serve one name, and this host's
// parts of services.
func (m *Membership) Active(hosts int, parts []*wire.ServicePart) {
	m.active.Store(int32(hosts))
	next := make(map[string]route.Part, len(parts))
	for _, one := range parts {
		next[one.GetService()] = route.Part{At: int(one.GetPart()), Of: int(one.GetParts())}
	}
	m.parts.Store(&next)
}

// Part returns this host's part of a service's instances.
func (m *Membership) Part(service string) route.Part {
	parts := m.parts.Load()
	if parts == nil {
		return route.Part{}
	}
	return (*parts)[service]
}

// Probed returns the part of a service's instances that this host asks for
// their load, and whether it asks any: where several hosts serve one name, a
// host that is not among them does not.
func (m *Membership) Probed(service string) (route.Part, bool) {
	part := m.Part(service)
	return part, part.Of > 0 || m.ActiveHosts() < 2
}

// ActiveHosts returns the number of entry hosts that serve one name, at least
// this one.
func (m *Membership) ActiveHosts() int { return max(int(m.active.Load()), 1) }

// NewMembership returns a membership that knows no instance.
func NewMembership(registry *Registry, suspects *poison.Book) *Membership {
	return &Membership{registry: registry, suspects: suspects}
}

// Known returns the revision of the newest record that was taken.
func (m *Membership) Known() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Take takes records up to a revision. Control hosts apply the same log, so
// what one of them told up to a revision is all that any of them knew.
func (m *Membership) Take(instances []*wire.Instance, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.known {
		return
	}
	changes := make([]Change, 0, len(instances))
	for _, one := range instances {
		if one.GetRevision() <= m.known {
			continue
		}
		if one.GetGone() {
			changes = append(changes, Lost(one.GetId()))
			continue
		}
		changes = append(changes, Announced(one))
	}
	m.known = revision
	m.registry.Update(changes)
}

// Suspect takes fingerprints of requests that cost instances.
func (m *Membership) Suspect(suspects []*wire.Suspect) {
	if len(suspects) > 0 {
		m.suspects.Merge(suspects, time.Now())
	}
}
