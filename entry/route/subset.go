package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the subset of a large service's instances that a host prefers, which
// keeps its connections to them in use. Instances of other zones serve when
// those of the host's zone are short of capacity.
const (
	subsetInZone     = 14
	subsetOtherZones = 10
)

// WithHost sets the name of this host. Each host prefers its own subset of the
// instances of a large service, selected by rendezvous hashing, with instances of
// its zone first.
func WithHost(name string) Option { return func(r *Router) { r.host = name } }

// subset holds the positions of the members of a view that this host prefers.
type subset struct {
	view      *View
	positions []int // nil for all members; those of the host's zone first
}

// members returns the members that this host prefers.
func (s *subset) members() []Member {
	if s.positions == nil {
		return s.view.members
	}
	members := make([]Member, 0, len(s.positions))
	for _, at := range s.positions {
		members = append(members, s.view.members[at])
	}
	return members
}

// subset returns the positions of the members that this host prefers, nil for all.
func (d *Dispatcher) subset(view *View, zone string) []int {
	if cached := d.subsetCache.Load(); cached != nil && cached.view == view {
		return cached.positions
	}
	next := &subset{view: view}
	if len(view.members) > sampleAbove {
		next.positions = chooseSubset(view, d.router.host, zone)
	}
	d.subsetCache.Store(next)
	return next.positions
}

func chooseSubset(view *View, host, zone string) []int {
	type ranked struct {
		at        int
		otherZone bool
		weight    uint64
	}
	all := make([]ranked, 0, view.staying)
	for at, m := range view.members {
		if m.evacuated {
			continue
		}
		all = append(all, ranked{at: at, otherZone: m.instance.Zone() != zone, weight: xxhash.Sum64String(host + "\x00" + string(m.instance.ID()))})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.otherZone != b.otherZone {
			if a.otherZone {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.weight, b.weight)
	})
	firstOther := slices.IndexFunc(all, func(r ranked) bool { return r.otherZone })
	if firstOther < 0 {
		firstOther = len(all)
	}
	positions := make([]int, 0, subsetInZone+subsetOtherZones)
	for n, r := range all {
		if n < subsetInZone || n >= firstOther && len(positions) < subsetInZone+subsetOtherZones {
			positions = append(positions, r.at)
		}
	}
	return positions
}
