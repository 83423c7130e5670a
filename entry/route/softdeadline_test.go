package route_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const responseTime = 100 * time.Millisecond // of every request in these tests

// warmRouter returns a router over one instance with one slot, with a warmed-up
// latency estimate.
func warmRouter(t *testing.T) *route.Router {
	r := realTimeRouter(1, 0)
	for range 20 {
		ticket, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		time.Sleep(responseTime)
		ticket.Finish(route.Report{Latency: responseTime})
	}
	return r
}

// serveOrder records the names of requests in the order in which they are served.
type serveOrder struct {
	mu  sync.Mutex
	all []string
}

func (s *serveOrder) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, name)
}

func (s *serveOrder) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.all)
}

// offer queues a request and records when it is served, or that it is refused.
func offer(r *route.Router, name string, softDeadline, deadline time.Duration, order *serveOrder, terms *contract.Contract) {
	q := route.NewQuery(service, terms, "", "").WithDeadline(time.Now().Add(deadline)).WithSoftDeadline(time.Now().Add(softDeadline))
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

func TestRequestsThatCanMeetTheirSoftDeadlineAreServedBeforeLateOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		terms := contract.New()
		offer(r, "missed", -time.Second, 5*time.Second, &order, terms)
		offer(r, "later", 5*time.Second, 9*time.Second, &order, terms)
		offer(r, "sooner", 2*time.Second, 9*time.Second, &order, terms)
		offer(r, "urgent", 6*time.Second, 9*time.Second, &order, contract.New(contract.WithPriority(contract.PriorityHigh)))
		busy.Finish(route.Report{Latency: responseTime})
		time.Sleep(time.Minute)
		must.Eq(t, []string{"urgent", "sooner", "later", "missed"}, order.names())
	})
}

func TestNewestIsServedFirstWhileOldestHasLittleSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		offer(r, "old", responseTime+responseTime/4, time.Second, &order, contract.New())
		offer(r, "new", responseTime+responseTime/3, time.Second, &order, contract.New())
		busy.Finish(route.Report{Latency: responseTime})
		time.Sleep(time.Minute)
		must.Eq(t, []string{"new", "old"}, order.names())
	})
}

func TestRequestThatCannotBeAnsweredInTimeIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		_, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order serveOrder
		offer(r, "unmeetable", responseTime/2, responseTime/2, &order, contract.New())
		must.Eq(t, []string{"unmeetable refused"}, order.names())
		// Only as many late requests wait as can be served soon.
		for range 50 {
			offer(r, "late", -time.Second, time.Minute, &order, contract.New())
		}
		must.Greater(t, 30, len(order.names()))
		n, _ := r.Waiting(service)
		must.Positive(t, n)
		must.LessEq(t, 12, n)
	})
}

func TestOneSlotStaysFreeAndTheFasterInstanceIsSelected(t *testing.T) {
	var members []route.Member
	for _, id := range []instance.ID{"a", "b"} {
		members = append(members, route.NewMember(instance.New(id, service, "", instance.WithSlots(3)), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{service: route.NewView(service, members)})
	now := int64(time.Hour)
	r := route.NewRouter(views, route.NewAdaptive(route.WithFill(0.8)), route.WithClock(func() int64 { return now }))
	r.RecordProbe(members[0], route.ProbeReport{Answered: true, HasLoad: true, Slowdown: 2})
	r.RecordProbe(members[1], route.ProbeReport{Answered: true, HasLoad: true, Slowdown: 1})
	var chosen []instance.ID
	for range 5 {
		ticket, waiter, err := r.Offer(query(), func(*route.Ticket, error) {})
		must.NoError(t, err)
		if waiter != nil {
			break
		}
		chosen = append(chosen, ticket.Instance().ID())
	}
	must.Eq(t, []instance.ID{"b", "b", "a", "a"}, chosen)
}

func TestInstanceThatDoesNotAnswerProbesIsEjected(t *testing.T) {
	var members []route.Member
	for _, id := range []instance.ID{"a", "b", "c"} {
		members = append(members, route.NewMember(instance.New(id, service, ""), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{service: route.NewView(service, members)})
	r := route.NewRouter(views, route.NewAdaptive())
	for range 3 {
		r.RecordProbe(members[0], route.ProbeReport{})
	}
	must.Eq(t, route.Ejected, members[0].State(time.Now().UnixNano()))
}

func TestShedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := warmRouter(t)
		_, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		_, err = r.Acquire(t.Context(), query().WithDeadline(time.Now().Add(responseTime/2)).WithSoftDeadline(time.Now()))
		must.Eq(t, outcome.Overload, reasonOf(err))
	})
}
