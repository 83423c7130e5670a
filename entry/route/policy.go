package route

import (
	"math/bits"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
)

// Random is a random source that does not allocate.
type Random struct{ next func() uint64 }

// NewRandom returns a source of uniform numbers.
func NewRandom(next func() uint64) Random { return Random{next: next} }

// IntN returns a number from 0 to n-1.
func (r Random) IntN(n int) int {
	high, _ := bits.Mul64(r.next(), uint64(n))
	return int(high)
}

// Results of a policy that are not a member's position.
const (
	NoMember = -1 // no member accepts requests
	AllBusy  = -2 // every member that accepts requests is at its in-flight limit
)

// Policy chooses a member of a view.
type Policy interface {
	// Name returns the name used in settings and rules.
	Name() string
	// Reason returns a short description of how the member is selected.
	Reason() string
	// Choose returns the position of a member, or NoMember, or AllBusy. now is
	// in Unix nanoseconds. The state of each candidate is recorded in trace
	// unless it is nil.
	Choose(view *View, query *Query, now int64, random Random, trace *Trace) int
}

// Candidate is the recorded state of one instance at the time of a selection.
type Candidate struct {
	ID         instance.ID
	State      State
	InFlight   int           // requests of this host
	Reported   int           // load that the instance last reported
	ReportAge  time.Duration // negative if unknown
	Latency    time.Duration // normalised service time, 0 if unknown
	LatencyAge time.Duration // negative if unknown
	Slowdown   float64       // last reported multiple of the usual service time, 0 if unknown
	Busy       bool          // at its in-flight limit
	Score      float64       // the lowest one is selected
}

// maxCandidates is the number of candidates of one selection that are recorded.
const maxCandidates = 16

// Trace records the candidates of one selection.
type Trace struct {
	all     [maxCandidates]Candidate
	n       int
	omitted int
}

// Candidates returns the recorded candidates.
func (t *Trace) Candidates() []Candidate { return t.all[:t.n] }

// Omitted returns how many candidates were considered but not recorded.
func (t *Trace) Omitted() int { return t.omitted }

func (t *Trace) add(m *Member, state State, score float64, hasCapacity bool, now int64) {
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
		Slowdown: m.load.slowdown.get(), Reported: reported, ReportAge: ageOf(reportedAt, now), Latency: m.load.Latency(), LatencyAge: ageOf(m.load.serviceAt.Load(), now), Busy: !hasCapacity, Score: score,
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
