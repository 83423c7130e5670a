package state

import (
	"maps"
	"slices"

	"github.com/snipebeam/snipebeam/world/wire"
)

// evacuationsState holds the zones whose instances get no requests.
type evacuationsState struct {
	byZone   map[string]*wire.Evacuation
	revision uint64            // rises with each change of the zones
	orders   map[string]uint64 // number of orders by zone, including those that changed nothing
}

func (s *evacuationsState) reset() {
	*s = evacuationsState{byZone: map[string]*wire.Evacuation{}, orders: map[string]uint64{}}
}

// order starts or ends the evacuation of a zone. An order that was delayed while another
// one was carried out has no effect, unless it asks for what is in force already.
func (s *evacuationsState) order(req *wire.EvacuationOrder, at int64) *wire.EvacuationResult {
	zone := req.GetZone()
	_, evacuated := s.byZone[zone]
	changes := evacuated == req.GetEnd()
	if changes && req.GetKnownOrders() != s.orders[zone] {
		return &wire.EvacuationResult{Revision: s.revision, Overtaken: true}
	}
	s.orders[zone]++
	if !changes {
		return &wire.EvacuationResult{Revision: s.revision}
	}
	s.revision++
	if req.GetEnd() {
		delete(s.byZone, zone)
	} else {
		s.byZone[zone] = &wire.Evacuation{Zone: zone, Author: req.GetAuthor(), Reason: req.GetReason(), Since: at}
	}
	return &wire.EvacuationResult{Changed: true, Revision: s.revision}
}

func (s *evacuationsState) zones() []string { return slices.Sorted(maps.Keys(s.byZone)) }

func (s *evacuationsState) list() []*wire.Evacuation {
	all := make([]*wire.Evacuation, 0, len(s.byZone))
	for _, zone := range s.zones() {
		all = append(all, s.byZone[zone])
	}
	return all
}

func (s *evacuationsState) save(out *wire.StateSnapshot) {
	out.Evacuations, out.EvacuationsRevision = s.list(), s.revision
	out.EvacuationOrders = maps.Clone(s.orders) // the snapshot is encoded while further orders are applied
}

func (s *evacuationsState) load(in *wire.StateSnapshot) {
	for _, evacuation := range in.GetEvacuations() {
		s.byZone[evacuation.GetZone()] = evacuation
	}
	maps.Copy(s.orders, in.GetEvacuationOrders())
	s.revision = in.GetEvacuationsRevision()
}

// Evacuations returns the evacuated zones, sorted by name, and their revision. The records
// must not be modified.
func (m *Machine) Evacuations() ([]*wire.Evacuation, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.list(), m.evacuations.revision
}

// EvacuatedZones returns the names of the evacuated zones, sorted, and their revision.
func (m *Machine) EvacuatedZones() ([]string, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.zones(), m.evacuations.revision
}

// EvacuationsRevision returns the revision of the evacuated zones.
func (m *Machine) EvacuationsRevision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.revision
}

// EvacuationOrders returns the number of orders of a zone, for EvacuationOrder.known_orders.
func (m *Machine) EvacuationOrders(zone string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.orders[zone]
}

// EvacuationsChanged returns the signal of a change of the evacuated zones.
func (m *Machine) EvacuationsChanged() Signal {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changes.evacuations
}

// HasZone reports whether an instance in the zone is recorded, or an order for the zone was
// taken before, so that a repeated one is acknowledged whatever became of the zone since.
func (m *Machine) HasZone(zone string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.evacuations.orders[zone] > 0 {
		return true
	}
	for _, i := range m.instances.byID {
		if i.GetZone() == zone {
			return true
		}
	}
	return false
}
