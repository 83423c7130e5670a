package route

import (
	"math"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// Adaptive is the policy "adaptive": it selects the member with the lowest
// expected response time among those below their in-flight limit. Requests that
// find none wait at this host.
type Adaptive = LowestScore[*expectedLatency]

// expectedLatency scores a member by its expected response time in nanoseconds:
// the instance's service time, multiplied by its queue once its slots are full,
// plus the network latency to another zone.
type expectedLatency struct {
	fill          float64 // share of the slots that may be in use, 0 for all plus the headroom
	headroom      int     // requests beyond the slots that may be in flight
	latencyWeight float64 // exponent of the instance's relative service time; 0 ignores it
	zoneCost      float64 // round-trip time to another zone, nanoseconds
	reportWeight  float64 // weight of other hosts' requests, as derived from instance reports
	slotCost      float64 // cost of each busy slot, as a share of the service time
}

// Defaults of the policy.
const (
	DefaultHeadroom      = 3
	DefaultLatencyWeight = 0.5
	DefaultZoneCost      = time.Millisecond
	DefaultReportWeight  = 0.5
	defaultSlotCost      = 0.5
)

// AdaptiveOption changes one property of the policy.
type AdaptiveOption func(*expectedLatency)

// WithHeadroom sets how many requests beyond its slots may be in flight at an instance.
func WithHeadroom(n int) AdaptiveOption { return func(e *expectedLatency) { e.headroom = n } }

// WithFill sets the share of an instance's slots that are used before requests
// wait at this host. A share below 1 raises the throughput of instances that slow
// down when nearly full.
func WithFill(share float64) AdaptiveOption { return func(e *expectedLatency) { e.fill = share } }

// WithLatencyWeight sets the weight of an instance's relative service time, from 0 to 1.
func WithLatencyWeight(w float64) AdaptiveOption {
	return func(e *expectedLatency) { e.latencyWeight = w }
}

// WithZoneCost sets the round-trip time to another zone.
func WithZoneCost(d time.Duration) AdaptiveOption {
	return func(e *expectedLatency) { e.zoneCost = float64(d) }
}

// WithReportWeight sets the weight of other hosts' requests, as derived from
// instance reports, from 0 to 1.
func WithReportWeight(w float64) AdaptiveOption {
	return func(e *expectedLatency) { e.reportWeight = w }
}

// WithBusySlotCost sets the cost of each busy slot as a share of the service time.
func WithBusySlotCost(share float64) AdaptiveOption {
	return func(e *expectedLatency) { e.slotCost = share }
}

// NewAdaptive returns the policy with the given properties.
func NewAdaptive(opts ...AdaptiveOption) *Adaptive {
	e := &expectedLatency{headroom: DefaultHeadroom, latencyWeight: DefaultLatencyWeight, zoneCost: float64(DefaultZoneCost), reportWeight: DefaultReportWeight, slotCost: defaultSlotCost}
	for _, opt := range opts {
		opt(e)
	}
	return &Adaptive{name: contract.PolicyAdaptive, reason: "lowest expected time to the answer", scorer: e, eject: true}
}

// zoneTieBreak is the share of the round-trip time to another zone that is added
// to the score. It only breaks ties: a larger share starves instances of other
// zones at high load.
const zoneTieBreak = 1e-3

// defaultLatency is the assumed service time until a response has been observed.
const defaultLatency = float64(5 * time.Millisecond)

// Score returns the expected response time, and whether the member has capacity.
func (e *expectedLatency) Score(m *Member, q *Query, serviceLatency, slowdown float64, state State, now int64) (float64, bool) {
	if serviceLatency == 0 {
		serviceLatency = defaultLatency
	}
	slots := float64(m.instance.Slots())
	service := m.load.serviceTime(serviceLatency, now)
	zoneDelay := 0.0
	if q.inOtherZone(m) {
		zoneDelay = e.zoneCost
	}
	local := float64(m.load.inFlight.Load())
	inFlight := local
	if e.reportWeight > 0 {
		weight := e.reportWeight
		if m.load.fresh(now) {
			weight = 1
		}
		inFlight += weight * m.load.remoteInFlight(serviceLatency, now)
	}
	load := inFlight + m.load.penaltyNow(serviceLatency, now)
	// The estimate is damped, as an instance's speed varies while a request runs.
	damped := serviceLatency
	if e.latencyWeight > 0 {
		damped = serviceLatency * math.Pow(service/serviceLatency, e.latencyWeight)
	}
	if e.fill > 0 {
		service := damped * m.load.slowdownNow(slowdown, now)
		if !m.load.fresh(now) {
			service *= staleFactor
		}
		score, hasCapacity := e.scoreWithFill(m, q, service, local, inFlight, load, state)
		return score, hasCapacity && (q.slowService || !m.load.slowMoment(now))
	}
	score := damped * (max(1, (load+1)/slots) + e.slotCost*load/slots)
	if q.zonePreference() == contract.ZonePrefer {
		score += zoneDelay * zoneTieBreak
	}
	// Requests in transit to or from another zone do not occupy a slot.
	limit := slots*(1+zoneDelay/serviceLatency) + float64(e.headroom)
	// Without local requests in flight there, no completion would wake a waiting request.
	hasCapacity := local == 0 || inFlight < m.load.inFlightLimit(limit, service/serviceLatency, state)
	return score, hasCapacity
}

// staleFactor scales the service time of an instance without a fresh load report,
// which may have become busy or slow.
const staleFactor = 1.2

// coldFactor scales the service time of an instance that has just started or is recovering.
const coldFactor = 2.0

// scoreWithFill returns the score of an instance of which only a share of the slots is used.
func (e *expectedLatency) scoreWithFill(m *Member, q *Query, service, local, inFlight, load float64, state State) (score float64, hasCapacity bool) {
	slots := float64(m.instance.Slots())
	if state == Cold && q.coldRate == 0 || state == Recovering { // else the cost of cold ones is added to the score
		service *= coldFactor
	}
	limit := max(math.Floor(slots*e.fill), 1)
	score = service * (max(1, (load+1)/slots) + e.slotCost*load/slots)
	// Without local requests in flight there, no completion would wake a waiting request.
	hasCapacity = inFlight < limit || local == 0 && inFlight < slots
	if state == Recovering {
		hasCapacity = local < minLimit
	}
	return score, hasCapacity
}
