package route

import "math/rand/v2"

// LeastCount chooses the instance with the fewest of this host's own requests
// in flight for each slot; ties are broken at random.
type LeastCount struct{}

// Name returns "least".
func (LeastCount) Name() string { return "least" }

// Choose returns the position of the least loaded member.
func (LeastCount) Choose(view *View, query Query, _ int64, random *rand.Rand) int {
	best, ties := NoMember, 0
	bestLoad := 0.0
	for n, m := range view.members {
		if m.instance.Draining() || query.Excludes(m.instance.ID()) {
			continue
		}
		load := float64(m.load.InFlight()) / float64(m.instance.Slots())
		if best == NoMember || load < bestLoad {
			best, bestLoad, ties = n, load, 1
			continue
		}
		if load == bestLoad {
			ties++
			if random.IntN(ties) == 0 {
				best = n
			}
		}
	}
	return best
}
