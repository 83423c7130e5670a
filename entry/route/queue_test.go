package route_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"pgregory.net/rapid"
)

func reasonOf(err error) outcome.Reason {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem.Reason()
	}
	return ""
}

// realTimeRouter returns a router over one instance. It uses the system clock, which
// is virtual in a synctest bubble.
func realTimeRouter(slots, headroom int, opts ...route.Option) *route.Router {
	views := &route.Views{}
	member := route.NewMember(instance.New("catalogue-0", service, "", instance.WithSlots(slots)), &route.Load{})
	views.Store(map[string]*route.View{service: route.NewView(service, []route.Member{member})})
	return route.NewRouter(views, route.NewAdaptive(route.WithHeadroom(headroom)), opts...)
}

func TestWaitingEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := realTimeRouter(1, 0)
		_, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 70*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, err = r.Acquire(ctx, query())
		must.Eq(t, outcome.DeadlineExceeded, reasonOf(err))
		must.Eq(t, 70*time.Millisecond, time.Since(started))
		n, _ := r.Waiting(service)
		must.Eq(t, 0, n)
	})
}

func TestWaitingIsBoundedInNumberAndTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := route.DefaultLimits()
		limits.QueueLength, limits.MaxWait = 10, time.Second
		r := realTimeRouter(1, 0, route.WithLimits(limits))
		_, err := r.Acquire(t.Context(), query())
		must.NoError(t, err)
		var group sync.WaitGroup
		reasons := make(chan outcome.Reason, 20)
		for range 20 {
			group.Go(func() {
				_, err := r.Acquire(t.Context(), query())
				reasons <- reasonOf(err)
			})
		}
		synctest.Wait()
		n, _ := r.Waiting(service)
		must.Eq(t, 9, n) // normal priority fills nine tenths of the queue
		started := time.Now()
		group.Wait()
		must.Eq(t, time.Second, time.Since(started))
		for range 20 {
			must.Eq(t, outcome.Overload, <-reasons)
		}
	})
}

// TestNoWakeupIsLost guards against a lost wake-up, which leaves a request waiting
// forever: many requests pass through few slots, and each must finish.
func TestNoWakeupIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := realTimeRouter(2, 1)
		var group sync.WaitGroup
		for n := range 500 {
			group.Go(func() {
				time.Sleep(time.Duration(n%50) * time.Millisecond)
				ticket, err := r.Acquire(t.Context(), query())
				must.NoError(t, err)
				time.Sleep(time.Duration(1+n%7) * time.Millisecond)
				ticket.Finish(good)
			})
		}
		group.Wait()
		n, _ := r.Waiting(service)
		must.Eq(t, 0, n)
	})
}

// TestNoRequestStarves queues requests with arbitrary deadlines and priorities. Each is
// served after a bounded number of others.
func TestNoRequestStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := route.DefaultLimits()
		limits.MaxBypass = rapid.IntRange(1, 8).Draw(t, "bypass")
		f := newFixture(1, route.NewAdaptive(route.WithHeadroom(0)), route.WithLimits(limits))
		f.change(0, instance.WithSlots(1))
		running, err := f.offer(query())
		must.NoError(t, err)
		waiting := map[int]int{} // by request: requests that were served first
		ahead := map[int]int{}   // by request: requests that waited when it arrived
		for step := range rapid.IntRange(10, 150).Draw(t, "steps") {
			f.now += int64(time.Millisecond)
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				id := step*10 + len(waiting)%10
				if _, exists := waiting[id]; exists {
					continue
				}
				terms := contract.New(contract.WithPriority(contract.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))))
				deadline := f.now + rapid.Int64Range(int64(time.Minute), int64(time.Hour)).Draw(t, "deadline")
				q := route.NewQuery(service, terms, strconv.Itoa(id%3), "").WithDeadline(time.Unix(0, deadline))
				ahead[id], waiting[id] = len(waiting), 0
				_, _, err := f.router.Offer(q, func(ticket *route.Ticket, err error) {
					must.NoError(t, err)
					running = ticket
					delete(waiting, id)
					for other := range waiting {
						waiting[other]++
					}
				})
				must.NoError(t, err)
			}
			done := running
			running = nil
			done.Finish(good)
			for id, passed := range waiting {
				must.LessEq(t, (ahead[id]+1)*(limits.MaxBypass+1), passed)
			}
			if running == nil {
				running, err = f.offer(query())
				must.NoError(t, err)
				must.NotNil(t, running)
			}
		}
	})
}

func TestRequestThatCannotMeetItsDeadlineIsShedImmediately(t *testing.T) {
	f := newFixture(1, route.NewAdaptive())
	for range 50 {
		ticket, err := f.offer(query())
		must.NoError(t, err)
		f.now += int64(20 * time.Millisecond)
		ticket.Finish(route.Report{Latency: 20 * time.Millisecond})
	}
	for range 6 {
		_, err := f.offer(query())
		must.NoError(t, err)
	}
	_, err := f.offer(query().WithDeadline(time.Unix(0, f.now+int64(15*time.Millisecond))))
	must.Eq(t, outcome.Overload, reasonOf(err))
}

func TestLimitsOfServiceAndCaller(t *testing.T) {
	terms := contract.NewService(service, contract.WithInFlight(4), contract.WithEachCallerInFlight(3), contract.WithRetryBudget(0.1))
	f := newFixture(5, route.NewAdaptive(), route.WithTerms(func(string) *contract.Service { return terms }))
	request := func(caller string) (*route.Ticket, error) {
		return f.offer(route.NewQuery(service, contract.New(), caller, ""))
	}
	var tickets []*route.Ticket
	for range 3 {
		ticket, err := request("studio")
		must.NoError(t, err)
		tickets = append(tickets, ticket)
	}
	_, err := request("studio")
	must.Eq(t, outcome.CallerLimit, reasonOf(err))
	fourth, err := request("clinic")
	must.NoError(t, err)
	must.NotNil(t, fourth)
	queued, err := request("registrant")
	must.NoError(t, err)
	must.Nil(t, queued)
	tickets[0].Finish(good)
	n, _ := f.router.Waiting(service)
	must.Eq(t, 0, n)
	retries := 0
	for range 20 {
		if f.router.AllowRetry(t.Context(), service) != "" {
			retries++
		}
	}
	must.Eq(t, 0, retries) // four requests earned less than one
}

// Guards against a slot that stays occupied, or an instance that counts as failed,
// after a request was not sent.
func TestReleasedTicketFreesItsSlotAndIsNoResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := realTimeRouter(1, 0)
		for range 20 {
			ticket, err := r.Acquire(t.Context(), query())
			must.NoError(t, err)
			waited := make(chan error, 1)
			go func() {
				next, err := r.Acquire(t.Context(), query())
				if err == nil {
					next.Release()
				}
				waited <- err
			}()
			synctest.Wait()
			ticket.Release()
			must.NoError(t, <-waited)
		}
		must.Zero(t, r.HedgeDelay(service, 0))
	})
}

// Guards against requests that wait at a host that reaches no instance until their
// deadline, though another host could serve them.
func TestWaitingRequestsAreRejectedTogether(t *testing.T) {
	f := newFixture(1, route.NewAdaptive(route.WithHeadroom(0)))
	f.change(0, instance.WithSlots(1))
	_, err := f.offer(query())
	must.NoError(t, err)
	rejected := 0
	for n := range 6 {
		q := query().WithDeadline(time.Unix(0, f.now+int64(time.Minute)))
		if n%2 == 0 {
			q = q.WithSoftDeadline(time.Unix(0, f.now+int64(time.Second)))
		}
		_, waiter, err := f.router.Offer(q, func(ticket *route.Ticket, err error) {
			must.Nil(t, ticket)
			must.Eq(t, outcome.NoInstance, reasonOf(err))
			rejected++
		})
		must.NoError(t, err)
		must.NotNil(t, waiter)
	}
	f.router.RejectWaiting(outcome.New(outcome.NotRun, outcome.NoInstance, "none"))
	must.Eq(t, 6, rejected)
	n, _ := f.router.Waiting(service)
	must.Zero(t, n)
}

// Guards against instances that get no request for up to ten seconds after this host
// reaches them again.
func TestEjectionsEndTogether(t *testing.T) {
	f := newFixture(5, route.NewAdaptive())
	for f.ejected() == 0 {
		ticket, err := f.offer(query())
		must.NoError(t, err)
		ticket.Finish(failed)
	}
	f.router.EndEjections()
	must.Zero(t, f.ejected())
}
