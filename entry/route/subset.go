package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A host sends requests to few instances of a large service first, so that its
// links to them stay in use: to those of its zone, and to some of other zones for
// times when its own is short of room.
const (
	subsetNear = 14
	subsetFar  = 10
)

// WithHost names this host: each host has its own subset of the instances of a
// large service, by rendezvous hashing, those of its zone first.
func WithHost(name string) Option { return func(r *Router) { r.host = name } }

// subset is the positions of a view's members that this host uses first.
type subset struct {
	view      *View
	positions []int // nil: all; those of the host's zone first
}

// subset returns the positions of this host's subset, nil for all members.
func (d *Dispatcher) subset(view *View, zone string) []int {
	if known := d.among.Load(); known != nil && known.view == view {
		return known.positions
	}
	next := &subset{view: view}
	if len(view.members) > sampleAbove {
		next.positions = choose(view, d.router.host, zone)
	}
	d.among.Store(next)
	return next.positions
}

func choose(view *View, host, zone string) []int {
	type ranked struct {
		at     int
		away   bool
		weight uint64
	}
	all := make([]ranked, len(view.members))
	for at, m := range view.members {
		all[at] = ranked{at: at, away: m.instance.Zone() != zone, weight: xxhash.Sum64String(host + "\x00" + string(m.instance.ID()))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.away != b.away {
			if a.away {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.weight, b.weight)
	})
	far := slices.IndexFunc(all, func(r ranked) bool { return r.away })
	if far < 0 {
		far = len(all)
	}
	positions := make([]int, 0, subsetNear+subsetFar)
	for n, r := range all {
		if n < subsetNear || n >= far && len(positions) < subsetNear+subsetFar {
			positions = append(positions, r.at)
		}
	}
	return positions
}
