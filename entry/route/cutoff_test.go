package route_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

func TestRequestsWithoutAResponseBeforeTheCutoffAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		offer(r, "late", -time.Second, time.Minute, &order, contract.New())
		offer(r, "soon", time.Second, time.Minute, &order, contract.New())
		_, _, err = r.Offer(query(), func(_ *route.Ticket, err error) {
			must.Eq(t, outcome.HostStopping, reasonOf(err))
			order.add("without aim refused")
		})
		must.NoError(t, err)
		r.CutOffAt(time.Now().Add(responseTime / 2))
		must.SliceContainsAll(t, []string{"late refused", "soon refused", "without aim refused"}, order.names())
		busy.Finish(route.Report{Latency: responseTime})
		_, err = r.Acquire(t.Context(), query())
		must.Eq(t, outcome.HostStopping, reasonOf(err))
		n, _ := r.Waiting(service)
		must.Zero(t, n)
	})
}

func TestRequestsWithAResponseBeforeTheCutoffAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		offer(r, "soon", time.Second, time.Minute, &order, contract.New())
		r.CutOffAt(time.Now().Add(time.Second))
		busy.Finish(route.Report{Latency: responseTime})
		must.Eq(t, []string{"soon"}, order.names())
	})
}

func TestRequestsThatEndBeforeTheCutoffAreNotRefusedForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		r.CutOffAt(time.Now().Add(responseTime / 2))
		ctx, cancel := context.WithTimeout(t.Context(), responseTime/4)
		defer cancel()
		ticket, err := r.Acquire(ctx, query())
		must.NoError(t, err)
		ticket.Finish(route.Report{Latency: responseTime})
	})
}

func TestNothingIsSentFromTheCutoffOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := realTimeRouter(1, 0) // has no estimate of the response time
		r.CutOffAt(time.Now())
		_, err := r.Acquire(t.Context(), query())
		must.Eq(t, outcome.HostStopping, reasonOf(err))
	})
}
