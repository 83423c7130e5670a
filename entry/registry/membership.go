package registry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Membership updates a registry with the instance records of the control hosts, in
// the order of their revisions.
type Membership struct {
	registry *Registry
	suspects *poison.Tracker

	mu       sync.Mutex
	revision uint64

	active atomic.Int32
}

// SetActiveHosts sets the number of entry hosts that serve one name.
func (m *Membership) SetActiveHosts(hosts int) { m.active.Store(int32(hosts)) }

// ActiveHosts returns the number of entry hosts that serve one name. It is at least
// 1, for this host.
func (m *Membership) ActiveHosts() int { return max(int(m.active.Load()), 1) }

// NewMembership returns a membership with no records.
func NewMembership(registry *Registry, suspects *poison.Tracker) *Membership {
	return &Membership{registry: registry, suspects: suspects}
}

// Revision returns the revision up to which records have been applied.
func (m *Membership) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply applies records up to a revision. Control hosts apply the same log, so the
// records that one of them sends up to a revision are complete for all of them.
func (m *Membership) Apply(instances []*wire.Instance, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return
	}
	changes := make([]Change, 0, len(instances))
	for _, record := range instances {
		if record.GetRevision() <= m.revision {
			continue
		}
		if record.GetGone() {
			changes = append(changes, Removed(record.GetId()))
			continue
		}
		changes = append(changes, Announced(record))
	}
	m.revision = revision
	m.registry.Update(changes)
}

// AddSuspects merges fingerprints of requests that were in flight at failed
// instances.
func (m *Membership) AddSuspects(suspects []*wire.Suspect) {
	if len(suspects) > 0 {
		m.suspects.Merge(suspects, time.Now())
	}
}
