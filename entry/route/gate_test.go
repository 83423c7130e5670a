package route_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// countingGate counts the calls and admits no request of one organisation.
type countingGate struct {
	closedTo                   string
	arrived, refused, finished []route.Flow
}

func (g *countingGate) Admit(f route.Flow) (time.Duration, bool) {
	g.arrived = append(g.arrived, f)
	return 700 * time.Millisecond, f.Organisation != g.closedTo
}

func (g *countingGate) Refused(f route.Flow) { g.refused = append(g.refused, f) }

func (g *countingGate) Served(f route.Flow, _ time.Duration) { g.finished = append(g.finished, f) }

func organisationQuery(name string) route.Query {
	return query().WithRanks(true).WithOrganisation(contract.NewOrganisation(name, contract.WithRank(3)))
}

// Guards against a request that is sent although it is not admitted, and against a refusal
// without the wait.
func TestRequestThatIsNotAdmittedIsNotSent(t *testing.T) {
	gate := &countingGate{closedTo: "nord"}
	f := newFixture(1, route.NewAdaptive(), route.WithGate(gate))
	_, err := f.offer(organisationQuery("nord"))
	var problem *outcome.Problem
	must.True(t, errors.As(err, &problem))
	must.Eq(t, outcome.NotRun, problem.Kind())
	must.Eq(t, outcome.Overload, problem.Reason())
	must.Eq(t, 700*time.Millisecond, problem.RetryAfter())
	must.Zero(t, f.members[0].Load().InFlight())
	must.SliceEmpty(t, gate.refused) // it is not the host that lacks capacity
	ticket, err := f.offer(organisationQuery("sud"))
	must.NoError(t, err)
	ticket.Finish(good)
	want := route.Flow{Service: service, OrganisationRank: 3, RouteRank: int(contract.PriorityNormal), Organisation: "sud"}
	must.Eq(t, []route.Flow{want}, gate.finished)
}

// Guards against demand that counts repeats, and against a gate that takes effect where the
// rules hold no organisation.
func TestGateCountsFirstAttemptsOfRankedRequests(t *testing.T) {
	gate := &countingGate{}
	f := newFixture(2, route.NewAdaptive(), route.WithGate(gate))
	for _, q := range []route.Query{query(), organisationQuery("sud").Repeated()} {
		ticket, err := f.offer(q)
		must.NoError(t, err)
		ticket.Release()
	}
	must.SliceEmpty(t, gate.arrived)
}

// Guards against refusals that the control hosts do not hear of.
func TestGateCountsRefusalsForLackOfCapacity(t *testing.T) {
	gate := &countingGate{}
	limits := route.DefaultLimits()
	limits.QueueLength = 1
	f := newFixture(1, route.NewAdaptive(route.WithHeadroom(0)), route.WithGate(gate), route.WithLimits(limits))
	for range 20 {
		_, _ = f.offer(organisationQuery("sud"))
	}
	must.SliceLen(t, 20, gate.arrived)
	must.SliceNotEmpty(t, gate.refused)
}

// Guards against requests beyond a caller's limit that count as demand for the capacity, so
// that those of others are refused, and against a place in that limit that a request keeps
// which is not admitted.
func TestGateCountsOnlyRequestsWithinTheLimits(t *testing.T) {
	gate := &countingGate{closedTo: "nord"}
	f := newFixture(1, route.NewAdaptive(), route.WithGate(gate))
	terms := contract.New(contract.WithCallerInFlight(1))
	offer := func(organisation string) (*route.Ticket, error) {
		return f.offer(route.NewQuery(service, terms, "caller", "").WithRanks(true).WithOrganisation(contract.NewOrganisation(organisation)))
	}
	for range 2 {
		_, err := offer("nord")
		var problem *outcome.Problem
		must.True(t, errors.As(err, &problem))
		must.Eq(t, outcome.Overload, problem.Reason())
	}
	ticket, err := offer("sud")
	must.NoError(t, err)
	for range 10 {
		_, err := offer("sud")
		must.Error(t, err)
	}
	must.SliceLen(t, 3, gate.arrived)
	ticket.Finish(good)
}
