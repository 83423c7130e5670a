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

// asked notes which instances were asked for their load, and answers for them.
type asked struct {
	mu     sync.Mutex
	all    map[instance.ID]int
	takes  time.Duration
	report func(id instance.ID) route.ProbeReport
}

func (a *asked) ask(m route.Member) route.ProbeReport {
	a.mu.Lock()
	a.all[m.Instance().ID()]++
	a.mu.Unlock()
	time.Sleep(a.takes)
	return a.report(m.Instance().ID())
}

func (a *asked) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0
	for _, n := range a.all {
		total += n
	}
	return total
}

func telling(requests int, speed float64) route.ProbeReport {
	return route.ProbeReport{Answered: true, Healthy: true, HasLoad: true, Requests: requests, Slowdown: speed}
}

// looking returns a router over instances of which half are in another zone.
func looking(instances int, scout *asked, budget float64) *route.Router {
	scout.all = map[instance.ID]int{}
	var members []route.Member
	for n := range instances {
		zone := [...]string{"near", "far"}[n%2]
		id := instance.ID(fmt.Sprintf("%s-%02d", zone, n))
		members = append(members, route.NewMember(instance.New(id, service, "", instance.WithSlots(3), instance.WithZone(zone)), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{service: route.NewView(service, members)})
	terms := contract.NewService(service, contract.WithHealth("/healthz"), contract.WithProbeBudget(budget))
	return route.NewRouter(views, route.NewAdaptive(route.WithFill(0.8)), route.WithHost("entry-1"), route.WithProbe(scout.ask),
		route.WithTerms(func(string) *contract.Service { return terms }))
}

func aimed() route.Query {
	return route.NewQuery(service, contract.New(contract.WithAim(600*time.Millisecond)), "", "near")
}

func TestARequestGoesToAnInstanceThatTellsItIsQuickAndFreeRightNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scout := &asked{takes: time.Millisecond, report: func(id instance.ID) route.ProbeReport {
			switch id {
			case "near-04":
				return telling(0, 1)
			case "far-03":
				return telling(3, 1) // quick and full
			default:
				return telling(0, 4)
			}
		}}
		r := looking(8, scout, 0.1)
		ticket, err := r.Acquire(t.Context(), aimed())
		must.NoError(t, err)
		must.Eq(t, "near-04", ticket.Instance().ID(), must.Sprint(ticket.Probes(), scout.all, ticket.Candidates()))
		must.LessEq(t, 8, scout.total())
		asked := scout.total()
		ticket, err = r.Acquire(t.Context(), aimed())
		must.NoError(t, err)
		must.Eq(t, 0, ticket.Probes().Sent, must.Sprint("what was just told is not asked again"))
		must.Eq(t, asked, scout.total())
	})
}

func TestLooksKeepToTheBudgetOfProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scout := &asked{takes: 10 * time.Millisecond, report: func(instance.ID) route.ProbeReport { return telling(0, 1) }}
		r := looking(8, scout, 0.1)
		const requests = 400
		for range requests {
			ticket, err := r.Acquire(t.Context(), aimed())
			must.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			ticket.Finish(route.Report{Latency: 100 * time.Millisecond})
		}
		// A tenth of what 180 ms of work are, at 10 ms each: one for a request.
		must.LessEq(t, requests+8, scout.total())
		must.Greater(t, requests/2, scout.total())
	})
}

func TestARequestDoesNotWaitForInstancesThatDoNotTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scout := &asked{takes: time.Minute, report: func(instance.ID) route.ProbeReport { return route.ProbeReport{} }}
		r := looking(8, scout, 0.1)
		from := time.Now()
		ticket, err := r.Acquire(t.Context(), aimed())
		must.NoError(t, err)
		must.LessEq(t, 100*time.Millisecond, time.Since(from))
		must.Eq(t, 0, ticket.Probes().Completed)
		must.Eq(t, scout.total(), ticket.Probes().Sent)
		time.Sleep(time.Hour)
	})
}

func TestARequestDoesNotWaitForOthersOnceAGoodOneTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hung := make(chan struct{})
		scout := &asked{takes: time.Millisecond, report: func(id instance.ID) route.ProbeReport {
			if id != "near-04" && id != "near-02" {
				<-hung
				return route.ProbeReport{}
			}
			return telling(0, 1)
		}}
		r := looking(5, scout, 0.1)
		for range 20 {
			from := time.Now()
			ticket, err := r.Acquire(t.Context(), aimed())
			must.NoError(t, err)
			if ticket.Probes().Completed > 0 {
				must.LessEq(t, 10*time.Millisecond, time.Since(from))
			}
			time.Sleep(time.Second)
			ticket.Finish(route.Report{Latency: time.Second})
		}
		close(hung)
	})
}

func TestAHostUsesFewInstancesOfALargeServiceThoseOfItsZoneFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scout := &asked{takes: time.Millisecond, report: func(instance.ID) route.ProbeReport { return telling(0, 1) }}
		r := looking(120, scout, 0.1)
		for range 300 {
			ticket, err := r.Acquire(t.Context(), aimed())
			must.NoError(t, err)
			must.Eq(t, "near", ticket.Instance().Zone())
			time.Sleep(30 * time.Millisecond)
			ticket.Finish(route.Report{Latency: 30 * time.Millisecond})
		}
		must.MapLen(t, 14, scout.all)
		// Others are used once all of these are busy.
		scout.report = func(instance.ID) route.ProbeReport { return telling(3, 1) }
		used := map[instance.ID]bool{}
		for range 60 {
			ticket, err := r.Acquire(t.Context(), aimed())
			must.NoError(t, err)
			used[ticket.Instance().ID()] = true
		}
		must.Greater(t, 24, len(used))
	})
}

func TestTheHedgeFollowsTheAimAndNotQuickOthers(t *testing.T) {
	scout := &asked{report: func(instance.ID) route.ProbeReport { return telling(0, 1) }}
	r := looking(4, scout, 0.1)
	for range 50 { // short requests of another rule
		ticket, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		ticket.Finish(route.Report{Latency: time.Millisecond})
	}
	must.Eq(t, 300*time.Millisecond, r.HedgeDelay(service, 600*time.Millisecond))
	must.Less(t, 10*time.Millisecond, r.HedgeDelay(service, 0))
}
