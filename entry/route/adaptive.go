package route

import (
	"math"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// Adaptive is the policy "adaptive": the lowest expected time to the answer,
// among the members that are below their limit of requests in flight. Requests
// that find none wait at this host.
type Adaptive = LowestScore[*expected]

// expected is the expected time to the answer in nanoseconds: the instance's
// service time, times its queue once its slots are full, and the way to another
// zone.
type expected struct {
	fill     float64 // share of the slots that may be in use, 0 for all and the headroom
	headroom int     // requests beyond the slots that may be in flight
	weight   float64 // exponent of the instance's own speed; 0 ignores it
	zoneCost float64 // nanoseconds to another zone and back
	reports  float64 // weight of what instances report of other hosts' requests
	idle     float64 // cost of each busy slot, as a share of the service time
}

// Defaults of the policy.
const (
	DefaultHeadroom      = 3
	DefaultLatencyWeight = 0.5
	DefaultZoneCost      = time.Millisecond
	DefaultReportWeight  = 0.5
	defaultIdle          = 0.5
)

// AdaptiveOption changes one property of the policy.
type AdaptiveOption func(*expected)

// WithHeadroom sets how many requests beyond its slots an instance may have.
func WithHeadroom(n int) AdaptiveOption { return func(e *expected) { e.headroom = n } }

// WithFill sets the share of an instance's slots that are used before requests
// wait at this host; instances that slow down when nearly full answer more
// requests that way.
func WithFill(share float64) AdaptiveOption { return func(e *expected) { e.fill = share } }

// WithLatencyWeight sets how much an instance's own speed weighs, from 0 to 1.
func WithLatencyWeight(w float64) AdaptiveOption { return func(e *expected) { e.weight = w } }

// WithZoneCost sets the time to another zone and back.
func WithZoneCost(d time.Duration) AdaptiveOption {
	return func(e *expected) { e.zoneCost = float64(d) }
}

// WithReportWeight sets how much the requests of other hosts weigh that instances
// report, from 0 to 1.
func WithReportWeight(w float64) AdaptiveOption { return func(e *expected) { e.reports = w } }

// WithBusySlotCost sets the cost of each busy slot as a share of the service time.
func WithBusySlotCost(share float64) AdaptiveOption { return func(e *expected) { e.idle = share } }

// NewAdaptive returns the policy with the given properties.
func NewAdaptive(opts ...AdaptiveOption) *Adaptive {
	e := &expected{headroom: DefaultHeadroom, weight: DefaultLatencyWeight, zoneCost: float64(DefaultZoneCost), reports: DefaultReportWeight, idle: defaultIdle}
	for _, opt := range opts {
		opt(e)
	}
	return &Adaptive{name: contract.PolicyAdaptive, why: "lowest expected time to the answer", scorer: e, eject: true}
}

// zoneTie is the share of the way to another zone that is added to the score:
// enough to settle a tie. More of it starves instances of other zones at high
// load.
const zoneTie = 1e-3

// unknownLatency stands for the service time before any answer.
const unknownLatency = float64(5 * time.Millisecond)

// Score returns the expected time to the answer.
func (e *expected) Score(m *Member, q *Query, norm, speed float64, state State, now int64) (float64, bool) {
	if norm == 0 {
		norm = unknownLatency
	}
	slots := float64(m.instance.Slots())
	service := m.load.serviceTime(norm, now)
	way := 0.0
	if q.elsewhere(m) {
		way = e.zoneCost
	}
	own := float64(m.load.inFlight.Load())
	known := own
	if e.reports > 0 {
		weight := e.reports
		if m.load.fresh(now) {
			weight = 1
		}
		known += weight * m.load.othersNow(norm, now)
	}
	level := known + m.load.penaltyNow(norm, now)
	// The speed of an instance changes while a request runs: its estimate is damped.
	damped := norm
	if e.weight > 0 {
		damped = norm * math.Pow(service/norm, e.weight)
	}
	if e.fill > 0 {
		service := damped * m.load.speedNow(speed, now)
		if !m.load.fresh(now) {
			service *= staleCost
		}
		return e.paced(m, service, own, known, level, state)
	}
	score := damped * (max(1, (level+1)/slots) + e.idle*level/slots)
	if q.zonePreference() == contract.ZonePrefer {
		score += way * zoneTie
	}
	// Requests on their way to another zone and back keep no slot busy.
	most := slots*(1+way/norm) + float64(e.headroom)
	// With nothing of its own in flight there, no answer would end a wait.
	room := own == 0 || known < m.load.allowed(most, service/norm, state)
	return score, room
}

// staleCost is how much longer work is taken to take at an instance of which
// nothing fresh is known: it may have become busy or slow.
const staleCost = 1.2

// coldCost is how much longer work takes at an instance that has just started.
const coldCost = 2.0

// paced is the score of an instance of which only a share of the slots is used.
func (e *expected) paced(m *Member, service, own, known, level float64, state State) (score float64, room bool) {
	slots := float64(m.instance.Slots())
	if state == Cold || state == Recovering {
		service *= coldCost
	}
	most := max(math.Floor(slots*e.fill), 1)
	score = service * (max(1, (level+1)/slots) + e.idle*level/slots)
	// With nothing of its own in flight there, no answer would end a wait.
	room = known < most || own == 0 && known < slots
	if state == Recovering {
		room = own < firstLimit
	}
	return score, room
}
