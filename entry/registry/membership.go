package registry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

var (
	skippedRecords = metrics.GetOrCreateCounter("snipebeam_skipped_records_total")
	evacuatedZones = metrics.GetOrCreateGauge("snipebeam_evacuated_zones", nil)
)

// Membership updates a registry with the instance records of the control hosts, in
// the order of their revisions.
type Membership struct {
	registry *Registry
	suspects *poison.Tracker
	logger   hclog.Logger

	mu          sync.Mutex
	revision    uint64
	evacuations uint64 // revision of the evacuated zones

	active atomic.Int32
}

// SetActiveHosts sets the number of entry hosts that serve one name.
func (m *Membership) SetActiveHosts(hosts int) { m.active.Store(int32(hosts)) }

// ActiveHosts returns the number of entry hosts that serve one name. It is at least
// 1, for this host.
func (m *Membership) ActiveHosts() int { return max(int(m.active.Load()), 1) }

// Option configures a membership.
type Option func(*Membership)

// WithLogger sets the logger of skipped records.
func WithLogger(logger hclog.Logger) Option { return func(m *Membership) { m.logger = logger } }

// NewMembership returns a membership with no records.
func NewMembership(registry *Registry, suspects *poison.Tracker, opts ...Option) *Membership {
	m := &Membership{registry: registry, suspects: suspects, logger: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Revision returns the revision up to which records have been applied.
func (m *Membership) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply applies records up to a revision. A record that cannot be followed is skipped, and the
// instance stays as it was. Control hosts apply the same log, so the
// records that one of them sends up to a revision are complete for all of them.
func (m *Membership) Apply(instances []*wire.Instance, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return
	}
	changes := make([]Change, 0, len(instances))
	for n, record := range instances {
		if record.GetRevision() <= m.revision {
			continue
		}
		if record.GetGone() {
			changes = append(changes, Removed(record.GetId()))
			continue
		}
		if err := instance.Check(record); err != nil {
			skippedRecords.Inc()
			m.logger.Warn("record of an instance is skipped", "place", fmt.Sprintf("instances[%d]", n), "instance", record.GetId(), "revision", record.GetRevision(), "error", err)
			continue
		}
		changes = append(changes, Announced(record))
	}
	m.revision = revision
	m.registry.Update(changes)
}

// EvacuationsRevision returns the revision of the evacuated zones that were applied last.
func (m *Membership) EvacuationsRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuations
}

// ApplyEvacuations sets the evacuated zones. A revision that is not newer, such as that of a
// control host that lags behind another, changes nothing.
func (m *Membership) ApplyEvacuations(zones []string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.evacuations {
		return
	}
	m.evacuations = revision
	m.registry.Evacuate(zones)
	evacuatedZones.Set(float64(len(zones)))
	m.logger.Info("evacuated zones", "zones", zones, "revision", revision)
}

// AddSuspects merges fingerprints of requests that were in flight at failed
// instances.
func (m *Membership) AddSuspects(suspects []*wire.Suspect) {
	if len(suspects) > 0 {
		m.suspects.Merge(suspects, time.Now())
	}
}
