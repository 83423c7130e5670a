package route_test

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
	"pgregory.net/rapid"
)

// rankedQuery returns the query of an organisation's request, of an aim and a deadline
// from now.
func rankedQuery(organisation int, priority contract.Priority, aim, deadline time.Duration) route.Query {
	terms := contract.New(contract.WithPriority(priority), contract.WithAim(aim), contract.WithDeadline(deadline))
	return route.NewQuery(service, terms, "", "").WithRanks(true).
		WithOrganisation(contract.NewOrganisation("studio", contract.WithRank(organisation))).
		WithDeadline(time.Now().Add(deadline)).WithSoftDeadline(time.Now().Add(aim))
}

// offerQuery queues a request and records when it is served, or that it is refused.
func offerQuery(r *route.Router, name string, q route.Query, order *serveOrder) {
	_, _, err := r.Offer(q, func(ticket *route.Ticket, err error) {
		if err != nil {
			order.add(name + " refused")
			return
		}
		order.add(name)
		time.AfterFunc(responseTime, func() { ticket.Finish(route.Report{Latency: responseTime}) })
	})
	if err != nil {
		order.add(name + " refused immediately")
	}
}

// Guards against an order in which the rank of the route, the soft deadline or the time of
// arrival goes before the rank of the organisation.
func TestRankedRequestsAreServedByTheRankOfTheOrganisationThenOfTheRoute(t *testing.T) {
	type request struct{ organisation, priority int }
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
			return request{rapid.IntRange(0, 3).Draw(t, "organisation"), rapid.IntRange(0, 2).Draw(t, "priority")}
		}), 1, 12).Draw(rt, "requests")
		aims := rapid.SliceOfN(rapid.IntRange(0, 9), len(requests), len(requests)).Draw(rt, "aims")
		synctest.Test(t, func(t *testing.T) {
			r := warmRouter(t)
			busy, err := r.Acquire(t.Context(), query())
			must.NoError(t, err)
			var order serveOrder
			var want []string
			for n, q := range requests {
				offerQuery(r, fmt.Sprint(q), rankedQuery(q.organisation, contract.Priority(q.priority), time.Duration(aims[n])*time.Second, time.Minute), &order)
			}
			slices.SortStableFunc(requests, func(a, b request) int {
				return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.priority, b.priority))
			})
			for _, q := range requests {
				want = append(want, fmt.Sprint(q))
			}
			busy.Finish(route.Report{Latency: responseTime})
			time.Sleep(time.Hour)
			must.Eq(t, want, order.names())
		})
	})
}

// Guards against less urgent requests that go before an urgent one which is late but can
// meet its deadline, and against a change of the order where no organisation has a rank.
func TestLateUrgentRequestGoesFirstOnlyWhereRanksAreInForce(t *testing.T) {
	for _, ranked := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := warmRouter(t)
			busy, err := r.Acquire(t.Context(), query())
			must.NoError(t, err)
			var order serveOrder
			offerQuery(r, "patient", rankedQuery(0, contract.PriorityLow, 4*time.Second, 5*time.Second).WithRanks(ranked), &order)
			offerQuery(r, "late", rankedQuery(0, contract.PriorityHigh, 0, 5*time.Second).WithRanks(ranked), &order)
			busy.Finish(route.Report{Latency: responseTime})
			time.Sleep(time.Minute)
			want := []string{"patient", "late"}
			if ranked {
				want = []string{"late", "patient"}
			}
			must.Eq(t, want, order.names())
		})
	}
}

// Guards against requests that wait although they will be shed, and against a refusal
// without the time after which the request can be served.
func TestRankedRequestThatCannotBeServedInTimeIsRefusedWithItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		for n := range 6 {
			offerQuery(r, fmt.Sprint(n), rankedQuery(0, contract.PriorityNormal, time.Minute, time.Minute), &order)
		}
		_, _, err = r.Offer(rankedQuery(0, contract.PriorityNormal, time.Second, 400*time.Millisecond), nil)
		var problem *outcome.Problem
		must.True(t, errors.As(err, &problem))
		must.Eq(t, outcome.Overload, problem.Reason())
		// Six requests of 100 ms are ahead, and its own takes 100 ms, of 400 ms.
		must.Between(t, 250*time.Millisecond, problem.RetryAfter(), 350*time.Millisecond)
		time.Sleep(problem.RetryAfter())
		busy.Finish(route.Report{Latency: responseTime})
		offerQuery(r, "more urgent", rankedQuery(0, contract.PriorityHigh, time.Second, 400*time.Millisecond), &order)
		time.Sleep(time.Minute)
		must.SliceContains(t, order.names(), "more urgent")
	})
}

// Guards against a less urgent request that keeps its place in a full queue.
func TestFullQueueRefusesItsLeastUrgentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := route.DefaultLimits()
		limits.QueueLength = 2
		r := realTimeRouter(1, 0, route.WithLimits(limits))
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		offerQuery(r, "rank 1", rankedQuery(1, contract.PriorityHigh, time.Minute, time.Minute), &order)
		offerQuery(r, "rank 2", rankedQuery(2, contract.PriorityHigh, time.Minute, time.Minute), &order)
		offerQuery(r, "rank 3", rankedQuery(3, contract.PriorityHigh, time.Minute, time.Minute), &order)
		offerQuery(r, "rank 0", rankedQuery(0, contract.PriorityLow, time.Minute, time.Minute), &order)
		busy.Finish(good)
		time.Sleep(time.Hour)
		must.Eq(t, []string{"rank 3 refused immediately", "rank 2 refused", "rank 0", "rank 1"}, order.names())
	})
}

// Guards against a full queue that refuses a request for the place of one that cannot be
// served in time and is refused as well.
func TestFullQueueKeepsItsRequestsFromOneThatIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := route.DefaultLimits()
		limits.QueueLength = 1
		r := realTimeRouter(1, 0, route.WithLimits(limits))
		warm, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		warm.Finish(good)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		offerQuery(r, "rank 1", rankedQuery(1, contract.PriorityHigh, time.Minute, time.Minute), &order)
		offerQuery(r, "rank 0", rankedQuery(0, contract.PriorityHigh, good.Latency/2, good.Latency/2), &order)
		busy.Finish(good)
		time.Sleep(time.Hour)
		must.Eq(t, []string{"rank 0 refused immediately", "rank 1"}, order.names())
	})
}

// Guards against short urgent requests that are refused because the mean of the service,
// which long requests dominate, exceeds what is left of their deadline.
func TestExpectationIsThatOfTheKindOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const short, long = 220 * time.Millisecond, 880 * time.Millisecond
		urgent := func() route.Query {
			return rankedQuery(0, contract.PriorityHigh, 500*time.Millisecond, 1200*time.Millisecond)
		}
		patient := func() route.Query {
			return rankedQuery(2, contract.PriorityHigh, 4*time.Second, 5*time.Second)
		}
		r := realTimeRouter(1, 0)
		serve := func(q route.Query, took time.Duration) {
			ticket, err := r.Acquire(t.Context(), q)
			must.NoError(t, err)
			time.Sleep(took)
			ticket.Finish(route.Report{Latency: took})
		}
		for range 40 {
			serve(urgent(), short)
			serve(patient(), long)
		}
		busy, err := r.Acquire(t.Context(), patient())
		must.NoError(t, err)
		var order serveOrder
		offerQuery(r, "urgent", urgent(), &order)
		time.Sleep(long)
		busy.Finish(route.Report{Latency: long})
		must.Eq(t, []string{"urgent"}, order.names())
	})
}
