package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSize is how many instances of a large service a host sends requests to
// first, so that its links to them stay in use.
const subsetSize = 16

// WithHost names this host: each host has its own subset of the instances of a
// large service, by rendezvous hashing, those of its zone first.
func WithHost(name string) Option { return func(r *Router) { r.host = name } }

// subset is the positions of a view's members that this host uses first.
type subset struct {
	view      *View
	positions []int // nil: all
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
	positions := make([]int, subsetSize)
	for n := range positions {
		positions[n] = all[n].at
	}
	return positions
}
