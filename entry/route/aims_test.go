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

const usual = 100 * time.Millisecond // time of an answer in these tests

// taught returns a router over one instance with one slot whose time is known.
func taught(t *testing.T) *route.Router {
	r := realTime(1, 0)
	for range 20 {
		ticket, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		time.Sleep(usual)
		ticket.Finish(route.Report{Latency: usual})
	}
	return r
}

// turns are the names of requests in the order of their turns.
type turns struct {
	mu  sync.Mutex
	all []string
}

func (o *turns) add(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, name)
}

func (o *turns) seen() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.all)
}

// offer queues a request and notes when its turn comes, or that it is refused.
func offer(r *route.Router, name string, aim, deadline time.Duration, order *turns, terms *contract.Contract) {
	q := route.NewQuery(service, terms, "", "").WithDeadline(time.Now().Add(deadline)).WithSoftDeadline(time.Now().Add(aim))
	_, _, err := r.Offer(q, func(ticket *route.Ticket, err error) {
		if err != nil {
			order.add(name + " refused")
			return
		}
		order.add(name)
		time.AfterFunc(usual, func() { ticket.Finish(route.Report{Latency: usual}) })
	})
	if err != nil {
		order.add(name + " refused at once")
	}
}

func TestRequestsThatCanMakeTheirAimGoBeforeThoseThatMissedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := taught(t)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order turns
		terms := contract.New()
		offer(r, "missed", -time.Second, 5*time.Second, &order, terms)
		offer(r, "later", 5*time.Second, 9*time.Second, &order, terms)
		offer(r, "sooner", 2*time.Second, 9*time.Second, &order, terms)
		offer(r, "urgent", 6*time.Second, 9*time.Second, &order, contract.New(contract.WithPriority(contract.PriorityHigh)))
		busy.Finish(route.Report{Latency: usual})
		time.Sleep(time.Minute)
		must.Eq(t, []string{"urgent", "sooner", "later", "missed"}, order.seen())
	})
}

func TestTheNewestGoesFirstWhileTheOldestWouldBarelyMakeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := taught(t)
		busy, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order turns
		offer(r, "old", usual+usual/4, time.Second, &order, contract.New())
		offer(r, "new", usual+usual/3, time.Second, &order, contract.New())
		busy.Finish(route.Report{Latency: usual})
		time.Sleep(time.Minute)
		must.Eq(t, []string{"new", "old"}, order.seen())
	})
}

func TestWhatCannotBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := taught(t)
		_, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var order turns
		offer(r, "hopeless", usual/2, usual/2, &order, contract.New())
		must.Eq(t, []string{"hopeless refused"}, order.seen())
		// Of those that missed their aim only so many wait as are served soon.
		for range 50 {
			offer(r, "late", -time.Second, time.Minute, &order, contract.New())
		}
		must.Greater(t, 30, len(order.seen()))
		n, _ := r.Waiting(service)
		must.Positive(t, n)
		must.LessEq(t, 12, n)
	})
}

func TestASlotIsLeftFreeAndTheFasterMachineIsChosen(t *testing.T) {
	var members []route.Member
	for _, id := range []instance.ID{"a", "b"} {
		members = append(members, route.NewMember(instance.New(id, service, "", instance.WithSlots(3)), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{service: route.NewView(service, members)})
	now := int64(time.Hour)
	r := route.NewRouter(views, route.NewAdaptive(route.WithFill(0.8)), route.WithClock(func() int64 { return now }))
	r.RecordProbe(members[0], route.ProbeReport{Answered: true, HasLoad: true, Slowdown: 4})
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

func TestAnInstanceThatDoesNotAnswerProbesIsEjected(t *testing.T) {
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

func TestSecondCopiesKeepToTheBudgetAndTheAllowance(t *testing.T) {
	for _, c := range []struct {
		terms *contract.Service
		want  int
	}{
		{contract.NewService(service, contract.WithRetryBudget(0)), 3}, // what a new budget has
		{contract.NewService(service, contract.WithRetryBudget(0), contract.WithRetryAllowance(100, 10*time.Second)), 23},
	} {
		now := int64(time.Hour)
		views := &route.Views{}
		views.Store(map[string]*route.View{service: route.NewView(service, []route.Member{
			route.NewMember(instance.New("a", service, "", instance.WithSlots(1000)), &route.Load{}),
		})})
		r := route.NewRouter(views, route.NewLeastLoaded(), route.WithClock(func() int64 { return now }),
			route.WithTerms(func(string) *contract.Service { return c.terms }))
		got := 0
		for r.Try(query()) != nil {
			got++
		}
		must.Between(t, c.want-1, got, c.want+1)
	}
}

func TestShedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := taught(t)
		_, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		_, err = r.Acquire(t.Context(), query().WithDeadline(time.Now().Add(usual/2)).WithSoftDeadline(time.Now()))
		must.Eq(t, outcome.Overload, reasonOf(err))
	})
}
