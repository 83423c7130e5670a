package virtual

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
)

// Scenario describes one run. Its zero fields take the defaults of Fill.
type Scenario struct {
	Seed        uint64
	Load        float64 // share of the instances' capacity
	Duration    time.Duration
	Warmup      time.Duration // left out of the figures
	Instances   int
	Slots       int
	Mean        time.Duration // mean service time
	Sigma       float64       // of the lognormal service time
	SpeedPeriod time.Duration // between two redraws of an instance's speed
	SpeedFactor float64       // fastest over slowest
	Zones       int
	SameZone    time.Duration // one way between an entry host and an instance
	OtherZone   time.Duration
	Hosts       int // entry hosts of the fleet
	Active      int // entry hosts that serve the service
	Spread      int // entry hosts that a caller's answer names, spares included
	Callers     int
	Deadline    time.Duration
	Burst       float64 // the rate swings by this share around its mean
	BurstPeriod time.Duration
	ProbeBudget float64 // share of slot time, 0 for no probes
	ProbeCost   time.Duration
	Faults      []Fault
	Policy      func() route.Policy
	Options     []route.Option
}

// Fault changes one instance or entry host at a time.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Target int
	Factor float64 // of a slowdown, or the load that is reported
}

// FaultKind names a fault.
type FaultKind int

// Faults of instances and entry hosts.
const (
	Slow FaultKind = iota
	FailFast
	Drain
	MisreportLoad
	CrashHost
	ColdStart     // the instance starts again and is slower by the factor for a while
	PartitionZone // nothing passes between the zone and the other zones
)

// WithDefaults returns the scenario with defaults in place of zero fields.
func (s Scenario) WithDefaults() Scenario {
	set(&s.Seed, 1)
	set(&s.Load, 0.85)
	set(&s.Duration, 20*time.Second)
	set(&s.Warmup, time.Second)
	set(&s.Instances, 10)
	set(&s.Slots, 3)
	set(&s.Mean, 5*time.Millisecond)
	set(&s.Sigma, 0.8)
	set(&s.SpeedPeriod, 50*time.Millisecond)
	set(&s.SpeedFactor, 4)
	set(&s.Zones, 3)
	set(&s.SameZone, 500*time.Microsecond)
	set(&s.OtherZone, s.SameZone)
	set(&s.Hosts, 29)
	set(&s.Active, s.Hosts)
	set(&s.Spread, s.Active)
	set(&s.Callers, 300)
	set(&s.ProbeCost, 6*time.Millisecond)
	set(&s.BurstPeriod, 400*time.Millisecond)
	return s
}

func set[T comparable](field *T, value T) {
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

// arrivals returns the same requests for every policy.
func (s Scenario) arrivals() []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	rate := s.Load * float64(s.Instances*s.Slots) / float64(s.Mean)
	most := rate * (1 + s.Burst)
	var all []arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / most
		if at > float64(s.Duration) {
			return all
		}
		work := float64(s.Mean) * math.Exp(s.Sigma*random.NormFloat64()-s.Sigma*s.Sigma/2)
		one := arrival{at: int64(at), work: work, caller: random.IntN(s.Callers)}
		if random.Float64()*most < rate*s.swing(at) {
			all = append(all, one)
		}
	}
}

// swing is the rate at a time over its mean: a square wave.
func (s Scenario) swing(at float64) float64 {
	if s.Burst == 0 {
		return 1
	}
	if int64(at)/int64(s.BurstPeriod)%2 == 0 {
		return 1 + s.Burst
	}
	return 1 - s.Burst
}

// speeds draws an instance's speed, the same for every policy; its mean is 1.
type speeds struct {
	random *rand.Rand
	factor float64
}

func (s Scenario) speedsOf(instance int) *speeds {
	return &speeds{random: rand.New(rand.NewPCG(s.Seed, uint64(instance)+1000)), factor: s.SpeedFactor}
}

func (s *speeds) draw() float64 {
	if s.factor <= 1 {
		return 1
	}
	half := math.Sqrt(s.factor)
	mean := (half - 1/half) / math.Log(s.factor)
	return math.Exp((s.random.Float64()-0.5)*math.Log(s.factor)) / mean
}

// phase is when the instance's speed is drawn again for the first time.
func (s *speeds) phase(period time.Duration) int64 { return s.random.Int64N(int64(period)) }
