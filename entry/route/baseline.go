package route

import (
	"sync/atomic"

	"github.com/snipebeam/snipebeam/world/contract"
)

// constantScore scores every member equally.
type constantScore struct{}

func (constantScore) Score(*Member, *Query, float64, float64, State, int64) (float64, bool) {
	return 0, true
}

// NewRandomChoice returns the policy "random".
func NewRandomChoice() Policy {
	return &LowestScore[constantScore]{name: contract.PolicyRandom, reason: "selected at random", sample: 1}
}

// localLoad scores a member by this host's in-flight requests per slot.
type localLoad struct{}

func (localLoad) Score(m *Member, _ *Query, _, _ float64, _ State, _ int64) (float64, bool) {
	return float64(m.load.InFlight()) / float64(m.instance.Slots()), true
}

// NewLeastLoaded returns the policy "least", which selects the member with the
// fewest in-flight requests of this host per slot.
func NewLeastLoaded() Policy {
	return &LowestScore[localLoad]{name: contract.PolicyLeast, reason: "fewest local requests in flight per slot"}
}

// NewPowerOfTwo returns the policy "powerOfTwo", which selects the less loaded of
// two random members by this host's in-flight requests.
func NewPowerOfTwo() Policy {
	return &LowestScore[localLoad]{name: contract.PolicyPowerOfTwo, reason: "less loaded of two random instances", sample: 2}
}

// peakEWMA scores a member by its peak-sensitive EWMA latency times this host's
// in-flight requests.
type peakEWMA struct{}

func (peakEWMA) Score(m *Member, _ *Query, serviceLatency, _ float64, _ State, _ int64) (float64, bool) {
	latency := m.load.peak.get()
	if latency == 0 {
		latency = serviceLatency
	}
	return latency * float64(m.load.InFlight()+1), true
}

// NewPeakEWMA returns the policy "peakEWMA", which selects the better of two random
// members by peak-sensitive EWMA latency times in-flight requests.
func NewPeakEWMA() Policy {
	return &LowestScore[peakEWMA]{name: contract.PolicyPeakEWMA, reason: "lower peak EWMA latency times local requests in flight, of two random instances", sample: 2}
}

// roundRobin cycles through the members.
type roundRobin struct{ next atomic.Uint64 }

// NewRoundRobin returns the policy "roundRobin".
func NewRoundRobin() Policy { return &roundRobin{} }

// Name returns the policy's name.
func (*roundRobin) Name() string { return contract.PolicyRoundRobin }

// Reason returns a short description of how the member is selected.
func (*roundRobin) Reason() string { return "next in rotation" }

// Choose returns the position of the next member that accepts requests.
func (p *roundRobin) Choose(view *View, query *Query, now int64, _ Random, trace *Trace) int {
	result := NoMember
	for range view.members {
		at := int(p.next.Add(1) % uint64(len(view.members)))
		m := &view.members[at]
		state := stateOf(m, query, now)
		within := m.mayTake(query.coldRate, now)
		trace.add(m, state, 0, within, now)
		if state == Draining || state == Excluded || m.load.blocked(now) {
			continue
		}
		if within {
			return at
		}
		result = AllBusy
	}
	return result
}

// ByName returns a new policy with the name used in settings and rules, or nil.
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
