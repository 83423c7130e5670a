package route_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

const service = "catalogue"

// fixture is a router over instances in virtual time.
type fixture struct {
	now     int64
	views   *route.Views
	members []route.Member
	router  *route.Router
}

func newFixture(n int, policy route.Policy, opts ...route.Option) *fixture {
	f := &fixture{now: int64(time.Hour), views: &route.Views{}}
	for i := range n {
		id := instance.ID(service + "-" + strconv.Itoa(i))
		f.members = append(f.members, route.NewMember(instance.New(id, service, ""), &route.Load{}))
	}
	f.publish()
	draws := rand.NewPCG(1, 2)
	opts = append([]route.Option{route.WithClock(func() int64 { return f.now }), route.WithRandom(draws.Uint64)}, opts...)
	f.router = route.NewRouter(f.views, policy, opts...)
	return f
}

func (f *fixture) publish() {
	f.views.Store(map[string]*route.View{service: route.NewView(service, f.members)})
}

func (f *fixture) change(n int, opts ...instance.Option) {
	members := append([]route.Member(nil), f.members...)
	members[n] = route.NewMember(instance.New(members[n].Instance().ID(), service, "", opts...), members[n].Load())
	f.members = members
	f.publish()
}

func (f *fixture) offer(q route.Query) (*route.Ticket, error) {
	ticket, _, err := f.router.Offer(q, func(*route.Ticket, error) {})
	return ticket, err
}

func query(exclude ...instance.ID) route.Query {
	return route.NewQuery(service, contract.New(), "studio", "", exclude...)
}

func (f *fixture) ejected() int {
	n := 0
	for _, m := range f.members {
		if m.State(f.now) == route.Ejected {
			n++
		}
	}
	return n
}

var (
	good   = route.Report{Latency: 5 * time.Millisecond}
	failed = route.Report{Latency: time.Millisecond, Failed: true}
)

// TestHealthyInstanceIsAlwaysFound checks that each policy finds an instance while
// one is healthy and idle, whichever of the others fail or drain.
func TestHealthyInstanceIsAlwaysFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(contract.PolicyNames()).Draw(t, "policy")
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		f := newFixture(n, route.ByName(name))
		healthy := rapid.IntRange(0, n-1).Draw(t, "healthy")
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			f.now += rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "pause")
			if at := rapid.IntRange(0, n-1).Draw(t, "drains"); at != healthy && rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
				f.change(at, instance.WithDraining(true))
			}
			ticket, err := f.offer(query())
			must.NoError(t, err)
			must.NotNil(t, ticket)
			must.False(t, ticket.Instance().Draining())
			if ticket.Instance().ID() == f.members[healthy].Instance().ID() {
				ticket.Finish(good)
			} else {
				ticket.Finish(failed)
			}
		}
	})
}

// TestEjectedShareIsBounded checks the bound for arbitrary failures and view changes.
func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 15).Draw(t, "instances")
		f := newFixture(n, route.NewAdaptive())
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			f.now += rapid.Int64Range(0, int64(30*time.Millisecond)).Draw(t, "pause")
			ticket, err := f.offer(query())
			must.NoError(t, err)
			ticket.Finish(rapid.SampledFrom([]route.Report{good, failed, failed}).Draw(t, "report"))
			if len(f.members) > 2 && rapid.IntRange(0, 19).Draw(t, "leave") == 0 {
				f.members = f.members[1:]
				f.publish()
			}
			must.LessEq(t, 0.4*float64(len(f.members)), float64(f.ejected()))
		}
	})
}

func TestFailingInstanceIsEjectedAndRecoversWithOneRequest(t *testing.T) {
	f := newFixture(5, route.NewAdaptive())
	for n := 1; n < 5; n++ {
		f.change(n, instance.WithDraining(true))
	}
	for range 3 {
		ticket, err := f.offer(query())
		must.NoError(t, err)
		ticket.Finish(failed)
	}
	must.Eq(t, route.Ejected, f.members[0].State(f.now))
	f.now += int64(250 * time.Millisecond)
	must.Eq(t, route.Recovering, f.members[0].State(f.now))
	trial, err := f.offer(query())
	must.NoError(t, err)
	second, err := f.offer(query())
	must.NoError(t, err)
	must.Nil(t, second)
	trial.Finish(good)
	must.Eq(t, route.Ready, f.members[0].State(f.now))
}

func TestColdInstanceStartsWithOneRequest(t *testing.T) {
	f := newFixture(1, route.NewAdaptive())
	f.change(0, instance.WithCold(true))
	first, err := f.offer(query())
	must.NoError(t, err)
	second, err := f.offer(query())
	must.NoError(t, err)
	must.Nil(t, second)
	first.Finish(good)
	must.Eq(t, 1, f.members[0].Load().InFlight())
}

func TestContradictoryReportsAreIgnored(t *testing.T) {
	f := newFixture(1, route.NewAdaptive(route.WithReportWeight(1)))
	var mine []*route.Ticket
	for range 6 {
		ticket, err := f.offer(query())
		must.NoError(t, err)
		mine = append(mine, ticket)
	}
	must.False(t, f.members[0].Load().ReportsIgnored())
	for range 10 {
		mine[0].Finish(route.Report{Latency: 5 * time.Millisecond, HasReportedLoad: true})
		var err error
		mine[0], err = f.offer(query())
		must.NoError(t, err)
	}
	must.True(t, f.members[0].Load().ReportsIgnored())
}

func TestDecisionListsItsCandidates(t *testing.T) {
	f := newFixture(4, route.NewAdaptive())
	f.change(3, instance.WithDraining(true))
	first, err := f.offer(query())
	must.NoError(t, err)
	first.Finish(route.Report{Latency: 7 * time.Millisecond, HasReportedLoad: true, ReportedLoad: 2})
	f.now += int64(9 * time.Millisecond)
	ticket, err := f.offer(query())
	must.NoError(t, err)
	lines := ticket.Explain()
	must.Len(t, 4, lines)
	must.Eq(t, "draining", lines[3].WhyExcluded)
	must.Eq(t, "adaptive: lowest expected time to the answer", ticket.Reason())
	for _, line := range lines[:3] {
		if line.Instance == string(first.Instance().ID()) {
			must.Eq(t, 2, line.Reported)
			must.Eq(t, int64(9*time.Millisecond), line.ReportAgeNs)
			must.Eq(t, int64(7*time.Millisecond), line.LatencyNs)
		}
	}
}

func TestSelectionAllocatesNothing(t *testing.T) {
	for _, name := range contract.PolicyNames() {
		for _, n := range []int{10, 1000} {
			f := newFixture(n, route.ByName(name))
			policy, view, q := route.ByName(name), f.views.Load(service), query()
			random, trace := route.NewRandom(rand.Uint64), &route.Trace{}
			must.Eq(t, 0, testing.AllocsPerRun(100, func() { policy.Choose(view, &q, f.now, random, trace) }))
		}
	}
}
