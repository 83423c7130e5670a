package registry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Membership feeds a registry with the records of instances that control hosts
// keep, in the order of their revisions.
type Membership struct {
	registry *Registry
	suspects *poison.Tracker

	mu    sync.Mutex
	known uint64

	active atomic.Int32
}

// SetActiveHosts takes the number of entry hosts that serve one name.
func (m *Membership) SetActiveHosts(hosts int) { m.active.Store(int32(hosts)) }

// ActiveHosts returns the number of entry hosts that serve one name, at least
// this one.
func (m *Membership) ActiveHosts() int { return max(int(m.active.Load()), 1) }

// NewMembership returns a membership that knows no instance.
func NewMembership(registry *Registry, suspects *poison.Tracker) *Membership {
	return &Membership{registry: registry, suspects: suspects}
}

// Revision returns the revision of the newest record that was taken.
func (m *Membership) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Apply takes records up to a revision. Control hosts apply the same log, so
// what one of them told up to a revision is all that any of them knew.
func (m *Membership) Apply(instances []*wire.Instance, revision uint64) {
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
			changes = append(changes, Removed(one.GetId()))
			continue
		}
		changes = append(changes, Announced(one))
	}
	m.known = revision
	m.registry.Update(changes)
}

// AddSuspects takes fingerprints of requests that cost instances.
func (m *Membership) AddSuspects(suspects []*wire.Suspect) {
	if len(suspects) > 0 {
		m.suspects.Merge(suspects, time.Now())
	}
}
