package virtual

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
)

// Scenario describes one run. WithDefaults replaces fields that are zero.
type Scenario struct {
	Seed        uint64
	Load        float64 // share of the instances' capacity
	Duration    time.Duration
	Warmup      time.Duration // excluded from outcome counts and latencies
	Instances   int
	Slots       int
	Mean        time.Duration // mean service time
	Sigma       float64       // of the lognormal service time
	SpeedPeriod time.Duration // between changes of an instance's speed
	SpeedFactor float64       // ratio of the fastest to the slowest speed
	Zones       int
	SameZone    time.Duration // one-way latency between an entry host and an instance
	OtherZone   time.Duration
	Hosts       int // entry hosts of the fleet
	Active      int // entry hosts that serve the service
	Spread      int // entry hosts in an address response, spares included
	Callers     int
	Deadline    time.Duration
	Burst       float64 // the rate alternates by this share above and below its mean
	BurstPeriod time.Duration
	ProbeBudget float64 // share of slot time, 0 for no probes
	ProbeCost   time.Duration
	Faults      []Fault
	Policy      func() route.Policy
	Options     []route.Option
}

// Fault is a fault of one instance, entry host or zone at a point in time.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Target int
	Factor float64 // slowdown factor, or the reported load
}

// FaultKind is the kind of a fault.
type FaultKind int

// Faults of instances, entry hosts and zones.
const (
	Slow FaultKind = iota
	FailFast
	Drain
	MisreportLoad
	CrashHost
	ColdStart     // the instance restarts and is slower by the factor at first
	PartitionZone // the zone has no connection to the others
)

// WithDefaults returns the scenario with defaults in place of zero fields.
func (s Scenario) WithDefaults() Scenario {
	setDefault(&s.Seed, 1)
	setDefault(&s.Load, 0.85)
	setDefault(&s.Duration, 20*time.Second)
	setDefault(&s.Warmup, time.Second)
	setDefault(&s.Instances, 10)
	setDefault(&s.Slots, 3)
	setDefault(&s.Mean, 5*time.Millisecond)
	setDefault(&s.Sigma, 0.8)
	setDefault(&s.SpeedPeriod, 50*time.Millisecond)
	setDefault(&s.SpeedFactor, 4)
	setDefault(&s.Zones, 3)
	setDefault(&s.SameZone, 500*time.Microsecond)
	setDefault(&s.OtherZone, s.SameZone)
	setDefault(&s.Hosts, 29)
	setDefault(&s.Active, s.Hosts)
	setDefault(&s.Spread, s.Active)
	setDefault(&s.Callers, 300)
	setDefault(&s.ProbeCost, 6*time.Millisecond)
	setDefault(&s.BurstPeriod, 400*time.Millisecond)
	return s
}

// setDefault sets a field that is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// arrival is one request of the workload.
type arrival struct {
	at     int64
	work   float64 // nanoseconds at speed 1
	caller int
}

// arrivals draws the requests of the workload, which depend on the seed but not
// on the policy: a Poisson process at the maximum rate, thinned to the current
// rate.
func (s Scenario) arrivals() []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	rate := s.Load * float64(s.Instances*s.Slots) / float64(s.Mean)
	maxRate := rate * (1 + s.Burst)
	var all []arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / maxRate
		if at > float64(s.Duration) {
			return all
		}
		work := float64(s.Mean) * math.Exp(s.Sigma*random.NormFloat64()-s.Sigma*s.Sigma/2)
		one := arrival{at: int64(at), work: work, caller: random.IntN(s.Callers)}
		if random.Float64()*maxRate < rate*s.burstFactor(at) {
			all = append(all, one)
		}
	}
}

// burstFactor returns the ratio of the rate at a time to its mean, a square wave.
func (s Scenario) burstFactor(at float64) float64 {
	if s.Burst == 0 {
		return 1
	}
	if int64(at)/int64(s.BurstPeriod)%2 == 0 {
		return 1 + s.Burst
	}
	return 1 - s.Burst
}

// speedSource draws the speeds of an instance, with a mean of 1. The draws depend
// on the seed but not on the policy.
type speedSource struct {
	random *rand.Rand
	factor float64
}

func (s Scenario) speedSource(instance int) *speedSource {
	return &speedSource{random: rand.New(rand.NewPCG(s.Seed, uint64(instance)+1000)), factor: s.SpeedFactor}
}

func (s *speedSource) draw() float64 {
	if s.factor <= 1 {
		return 1
	}
	half := math.Sqrt(s.factor)
	mean := (half - 1/half) / math.Log(s.factor)
	return math.Exp((s.random.Float64()-0.5)*math.Log(s.factor)) / mean
}

// phase returns the time of the first change of speed, random within the period.
func (s *speedSource) phase(period time.Duration) int64 { return s.random.Int64N(int64(period)) }
