package route

import (
	"math/bits"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
)

// Random is a random source that allocates nothing.
type Random struct{ next func() uint64 }

// NewRandom returns a source of uniform numbers.
func NewRandom(next func() uint64) Random { return Random{next: next} }

// IntN returns a number from 0 to n-1.
func (r Random) IntN(n int) int {
	high, _ := bits.Mul64(r.next(), uint64(n))
	return int(high)
}

// Positions that a policy returns besides a member's.
const (
	NoMember = -1 // no member takes requests
	AllBusy  = -2 // every member that takes requests is at its limit
)

// Policy chooses a member of a view.
type Policy interface {
	// Name returns the name used in settings and rules.
	Name() string
	// Reason says in a few words what makes a member the chosen one.
	Reason() string
	// Choose returns the position of a member, or NoMember, or AllBusy. now is
	// in Unix nanoseconds; what was known of the candidates is recorded in the
	// trace unless it is nil.
	Choose(view *View, query *Query, now int64, random Random, trace *Trace) int
}

// Candidate is what was known of one instance when a choice was made.
type Candidate struct {
	ID         instance.ID
	State      State
	InFlight   int           // this host's requests
	Reported   int           // load as the instance last reported it
	ReportAge  time.Duration // negative if unknown
	Latency    time.Duration // normalised service time, 0 if unknown
	LatencyAge time.Duration // negative if unknown
	Slowdown   float64       // multiple of the usual time, as last told; 0 if unknown
	Busy       bool          // at its limit of requests in flight
	Score      float64       // the lowest one is chosen
}

// maxCandidates is how many candidates of one choice are recorded.
const maxCandidates = 16

// Trace records the candidates of one choice.
type Trace struct {
	all     [maxCandidates]Candidate
	n       int
	omitted int
}

// Candidates returns the recorded candidates.
func (t *Trace) Candidates() []Candidate { return t.all[:t.n] }

// Omitted returns how many candidates were weighed beside the recorded ones.
func (t *Trace) Omitted() int { return t.omitted }

func (t *Trace) add(m *Member, state State, score float64, room bool, now int64) {
	if t == nil {
		return
	}
	if t.n == maxCandidates {
		t.omitted++
		return
	}
	reported, reportedAt := m.load.Reported()
	t.all[t.n] = Candidate{
		ID: m.instance.ID(), State: state, InFlight: m.load.InFlight(),
		Slowdown: m.load.speed.get(), Reported: reported, ReportAge: ageOf(reportedAt, now), Latency: m.load.Latency(), LatencyAge: ageOf(m.load.serviceAt.Load(), now), Busy: !room, Score: score,
	}
	t.n++
}

func (t *Trace) reset() {
	if t != nil {
		t.n, t.omitted = 0, 0
	}
}

func ageOf(at, now int64) time.Duration {
	if at == 0 {
		return -1
	}
	return time.Duration(now - at)
}
