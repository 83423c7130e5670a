package route

import (
	"sync/atomic"

	"github.com/snipebeam/snipebeam/world/contract"
)

// constant gives every member the same score.
type constant struct{}

func (constant) Score(*Member, *Query, float64, float64, State, int64) (float64, bool) {
	return 0, true
}

// NewRandomChoice returns the policy "random".
func NewRandomChoice() Policy {
	return &LowestScore[constant]{name: contract.PolicyRandom, why: "drawn at random", sample: 1}
}

// ownCount is this host's own requests in flight for each slot.
type ownCount struct{}

func (ownCount) Score(m *Member, _ *Query, _, _ float64, _ State, _ int64) (float64, bool) {
	return float64(m.load.InFlight()) / float64(m.instance.Slots()), true
}

// NewLeastLoaded returns the policy "least": the fewest of this host's own
// requests in flight for each slot.
func NewLeastLoaded() Policy {
	return &LowestScore[ownCount]{name: contract.PolicyLeast, why: "fewest own requests in flight a slot"}
}

// NewPowerOfTwo returns the policy "powerOfTwo": the better of two random
// members by this host's own count.
func NewPowerOfTwo() Policy {
	return &LowestScore[ownCount]{name: contract.PolicyPowerOfTwo, why: "the less loaded of two drawn at random", sample: 2}
}

// peakLatency is the peak-sensitive average latency times the own count.
type peakLatency struct{}

func (peakLatency) Score(m *Member, _ *Query, norm, _ float64, _ State, _ int64) (float64, bool) {
	latency := m.load.peak.get()
	if latency == 0 {
		latency = norm
	}
	return latency * float64(m.load.InFlight()+1), true
}

// NewPeakEWMA returns the policy "peakEWMA": the better of two random members
// by peak-sensitive average latency times requests in flight.
func NewPeakEWMA() Policy {
	return &LowestScore[peakLatency]{name: contract.PolicyPeakEWMA, why: "lower peak latency times own count, of two drawn at random", sample: 2}
}

// roundRobin takes the members in turn.
type roundRobin struct{ next atomic.Uint64 }

// NewRoundRobin returns the policy "roundRobin".
func NewRoundRobin() Policy { return &roundRobin{} }

// Name returns the policy's name.
func (*roundRobin) Name() string { return contract.PolicyRoundRobin }

// Reason says what makes a member the chosen one.
func (*roundRobin) Reason() string { return "next in turn" }

// Choose returns the next member that takes requests.
func (p *roundRobin) Choose(view *View, query *Query, now int64, _ Random, trace *Trace) int {
	for range view.members {
		at := int(p.next.Add(1) % uint64(len(view.members)))
		m := &view.members[at]
		state := stateOf(m, query, now)
		trace.add(m, state, 0, true, now)
		if state != Draining && state != Excluded {
			return at
		}
	}
	return NoMember
}

// ByName returns a new policy by the name used in settings and rules, or nil.
func ByName(name string) Policy {
	build := policies[name]
	if build == nil {
		return nil
	}
	return build()
}

var policies = map[string]func() Policy{
	contract.PolicyAdaptive:   func() Policy { return NewAdaptive() },
	contract.PolicyRandom:     NewRandomChoice,
	contract.PolicyRoundRobin: NewRoundRobin,
	contract.PolicyLeast:      NewLeastLoaded,
	contract.PolicyPowerOfTwo: NewPowerOfTwo,
	contract.PolicyPeakEWMA:   NewPeakEWMA,
}
