// Package admission measures the demand at this host by service, rank and organisation,
// and admits the part of it that the control hosts have decided on. It is in force only for
// requests under rules that hold organisations.
//
// Usage:
//
//	gate := admission.New()
//	router := route.NewRouter(views, policy, route.WithGate(gate))
//	report.Demand = gate.Report()
//	watch := control.NewWatch(..., control.WithAdmissions(gate.Store))
package admission

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/steady"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Validity is how long this host obeys an answer after the control host gave it. It decides
// alone after that.
const Validity = 2 * time.Second

// The wait that a refused request is told: baseWait where most are admitted, and longer the
// fewer are.
const (
	baseWait = 500 * time.Millisecond
	maxWait  = 5 * time.Second
)

var (
	refusals = metrics.GetOrCreateCounter("snipebeam_admission_refusals_total")
	answers  = metrics.GetOrCreateCounter("snipebeam_admission_answers_total")
)

// Gate implements route.Gate.
type Gate struct {
	clock  func() int64   // steady nanoseconds
	random func() float64 // from 0 to 1
	shares atomic.Pointer[shares]

	mu       sync.Mutex // of changes to the set of counters
	counters atomic.Pointer[map[route.Flow]*counter]
}

// shares is one answer of a control host. It is immutable.
type shares struct {
	givenAt int64                  // at the earliest
	byFlow  map[route.Flow]float64 // those of a whole level have no organisation
}

// Option changes one property of a gate.
type Option func(*Gate)

// WithClock sets the source of nanoseconds, which must not go back.
func WithClock(clock func() int64) Option { return func(g *Gate) { g.clock = clock } }

// WithRandom sets the source of numbers from 0 to 1; it is called from many goroutines.
func WithRandom(random func() float64) Option { return func(g *Gate) { g.random = random } }

// New returns a gate that admits every request until the first answer.
func New(opts ...Option) *Gate {
	g := &Gate{clock: steady.New().Now, random: rand.Float64}
	for _, opt := range opts {
		opt(g)
	}
	g.counters.Store(&map[route.Flow]*counter{})
	return g
}

// Store replaces the answer in force, unless that is newer than the given age. An answer
// without entries is that of a control host that does not decide.
func (g *Gate) Store(entries []*wire.Admission, age time.Duration) {
	if len(entries) == 0 {
		return
	}
	next := &shares{givenAt: g.clock() - int64(max(age, 0)), byFlow: make(map[route.Flow]float64, len(entries))}
	for _, e := range entries {
		next.byFlow[flowOf(e.GetService(), e.GetOrganisationRank(), e.GetRank(), e.GetOrganisation())] = e.GetShare()
	}
	for {
		old := g.shares.Load()
		if old != nil && old.givenAt > next.givenAt {
			return
		}
		if g.shares.CompareAndSwap(old, next) {
			answers.Inc()
			return
		}
	}
}

func flowOf(service string, organisationRank, routeRank uint32, organisation string) route.Flow {
	return route.Flow{Service: service, OrganisationRank: int(organisationRank), RouteRank: int(routeRank), Organisation: organisation}
}

// share returns the part of a flow that is admitted.
func (g *Gate) share(f route.Flow) float64 {
	s := g.shares.Load()
	if s == nil || g.clock()-s.givenAt > int64(Validity) {
		return 1
	}
	if share, ok := s.byFlow[f]; ok {
		return share
	}
	f.Organisation = ""
	if share, ok := s.byFlow[f]; ok {
		return share
	}
	return 1
}

// Admit counts a request that arrives, and returns the wait after which it can be served if
// it is not admitted.
func (g *Gate) Admit(f route.Flow) (wait time.Duration, admitted bool) {
	g.counter(f).add(g.clock(), rates{arrivals: 1})
	share := g.share(f)
	if share >= 1 || g.random() < share {
		return 0, true
	}
	refusals.Inc()
	return waitFor(share), false
}

func waitFor(share float64) time.Duration {
	if share <= float64(baseWait)/float64(maxWait) {
		return maxWait
	}
	return time.Duration(float64(baseWait) / share)
}

// Refused counts an admitted request that this host refuses for lack of capacity.
func (g *Gate) Refused(f route.Flow) { g.counter(f).add(g.clock(), rates{refused: 1}) }

// Served counts a request that was served, and the time for which it occupied a slot.
func (g *Gate) Served(f route.Flow, took time.Duration) {
	g.counter(f).add(g.clock(), rates{served: 1, slots: took.Seconds()})
}
