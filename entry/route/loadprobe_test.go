package route_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// fakeProber counts the probes of each instance and responds for the instances.
type fakeProber struct {
	mu     sync.Mutex
	probed map[instance.ID]int
	delay  time.Duration
	report func(id instance.ID) route.ProbeReport
}

func (p *fakeProber) probe(m route.Member) route.ProbeReport {
	p.mu.Lock()
	p.probed[m.Instance().ID()]++
	p.mu.Unlock()
	time.Sleep(p.delay)
	return p.report(m.Instance().ID())
}

func (p *fakeProber) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, n := range p.probed {
		total += n
	}
	return total
}

func loadReport(requests int, slowdown float64) route.ProbeReport {
	return route.ProbeReport{Answered: true, Healthy: true, HasLoad: true, Requests: requests, Slowdown: slowdown}
}

// probingRouter returns a router with load probes over instances of which half are
// in another zone.
func probingRouter(instances int, prober *fakeProber, budget float64) *route.Router {
	prober.probed = map[instance.ID]int{}
	var members []route.Member
	for n := range instances {
		zone := [...]string{"near", "far"}[n%2]
		id := instance.ID(fmt.Sprintf("%s-%02d", zone, n))
		members = append(members, route.NewMember(instance.New(id, service, "", instance.WithSlots(3), instance.WithZone(zone)), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{service: route.NewView(service, members)})
	terms := contract.NewService(service, contract.WithHealth("/healthz"), contract.WithProbeBudget(budget))
	return route.NewRouter(views, route.NewAdaptive(route.WithFill(0.8)), route.WithHost("entry-1"), route.WithProbe(prober.probe),
		route.WithTerms(func(string) *contract.Service { return terms }))
}

func targetQuery() route.Query {
	return route.NewQuery(service, contract.New(contract.WithAim(600*time.Millisecond)), "", "near")
}

func TestRequestGoesToInstanceThatReportsItIsFastAndFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{delay: time.Millisecond, report: func(id instance.ID) route.ProbeReport {
			switch id {
			case "near-04":
				return loadReport(0, 1)
			case "far-03":
				return loadReport(3, 1) // fast but full
			default:
				return loadReport(0, 4)
			}
		}}
		r := probingRouter(8, prober, 0.1)
		ticket, err := r.Acquire(t.Context(), targetQuery())
		must.NoError(t, err)
		must.Eq(t, "near-04", ticket.Instance().ID(), must.Sprint(ticket.Probes(), prober.probed, ticket.Candidates()))
		must.LessEq(t, 8, prober.total())
		sent := prober.total()
		ticket, err = r.Acquire(t.Context(), targetQuery())
		must.NoError(t, err)
		must.Eq(t, 0, ticket.Probes().Sent, must.Sprint("an instance with a current report is not probed again"))
		must.Eq(t, sent, prober.total())
	})
}

func TestPreDispatchProbesRespectTheProbeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{delay: 10 * time.Millisecond, report: func(instance.ID) route.ProbeReport { return loadReport(0, 1) }}
		r := probingRouter(8, prober, 0.1)
		const requests = 400
		for range requests {
			ticket, err := r.Acquire(t.Context(), targetQuery())
			must.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			ticket.Finish(route.Report{Latency: 100 * time.Millisecond})
		}
		// The budget is a tenth of 180 ms of work, at 10 ms a probe: one probe per request.
		must.LessEq(t, requests+8, prober.total())
		must.Greater(t, requests/2, prober.total())
	})
}

// An upload that came in at the same time held all reports up for 60 ms, and the request went to
// an instance of which nothing was known.
func TestRequestWaitsForTheFirstReportBehindABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{delay: 60 * time.Millisecond, report: func(instance.ID) route.ProbeReport { return loadReport(0, 1) }}
		r := probingRouter(8, prober, 0.9)
		ticket, err := r.Acquire(t.Context(), targetQuery())
		must.NoError(t, err)
		must.Eq(t, ticket.Probes().Sent, ticket.Probes().Completed)
		must.Positive(t, prober.probed[ticket.Instance().ID()])
	})
}

func TestRequestDoesNotWaitForInstancesThatDoNotReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{delay: time.Minute, report: func(instance.ID) route.ProbeReport { return route.ProbeReport{} }}
		r := probingRouter(8, prober, 0.1)
		started := time.Now()
		ticket, err := r.Acquire(t.Context(), targetQuery())
		must.NoError(t, err)
		must.LessEq(t, 100*time.Millisecond, time.Since(started))
		must.Eq(t, 0, ticket.Probes().Completed)
		must.Eq(t, prober.total(), ticket.Probes().Sent)
		time.Sleep(time.Hour)
	})
}

func TestRequestDoesNotWaitForMoreReportsAfterAGoodOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := make(chan struct{})
		prober := &fakeProber{delay: time.Millisecond, report: func(id instance.ID) route.ProbeReport {
			if id != "near-04" && id != "near-02" {
				<-blocked
				return route.ProbeReport{}
			}
			return loadReport(0, 1)
		}}
		r := probingRouter(5, prober, 0.1)
		for range 20 {
			started := time.Now()
			ticket, err := r.Acquire(t.Context(), targetQuery())
			must.NoError(t, err)
			if ticket.Probes().Completed > 0 {
				must.LessEq(t, 10*time.Millisecond, time.Since(started))
			}
			time.Sleep(time.Second)
			ticket.Finish(route.Report{Latency: time.Second})
		}
		close(blocked)
	})
}

func TestHostPrefersASubsetOfALargeServiceStartingWithItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{delay: time.Millisecond, report: func(instance.ID) route.ProbeReport { return loadReport(0, 1) }}
		r := probingRouter(120, prober, 0.1)
		for range 300 {
			ticket, err := r.Acquire(t.Context(), targetQuery())
			must.NoError(t, err)
			must.Eq(t, "near", ticket.Instance().Zone())
			time.Sleep(30 * time.Millisecond)
			ticket.Finish(route.Report{Latency: 30 * time.Millisecond})
		}
		must.MapLen(t, 14, prober.probed)
		// Other instances are used once all of the subset are busy.
		prober.report = func(instance.ID) route.ProbeReport { return loadReport(3, 1) }
		used := map[instance.ID]bool{}
		for range 60 {
			ticket, err := r.Acquire(t.Context(), targetQuery())
			must.NoError(t, err)
			used[ticket.Instance().ID()] = true
		}
		must.Greater(t, 24, len(used))
	})
}

func TestHedgeDelayFollowsTheTargetLatencyAndNotOtherRules(t *testing.T) {
	prober := &fakeProber{report: func(instance.ID) route.ProbeReport { return loadReport(0, 1) }}
	r := probingRouter(4, prober, 0.1)
	for range 50 { // short requests of another rule
		ticket, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		ticket.Finish(route.Report{Latency: time.Millisecond})
	}
	must.Eq(t, 300*time.Millisecond, r.HedgeDelay(service, 600*time.Millisecond))
	must.Less(t, 10*time.Millisecond, r.HedgeDelay(service, 0))
}
