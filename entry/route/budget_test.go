package route_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
)

// The retries that each host has saved add up over all hosts.
func TestSavedRetriesOfAllHostsStayWithinTheAllowance(t *testing.T) {
	const (
		hosts, perHost = 190, 30
		share          = 0.2
		allowance      = 303
		window         = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		terms := contract.NewService(service, contract.WithRetryBudget(share), contract.WithRetryAllowance(allowance, window))
		var routers []*route.Router
		for range hosts {
			routers = append(routers, realTimeRouter(1, 0,
				route.WithTerms(func(string) *contract.Service { return terms }),
				route.WithShare(func(string) float64 { return 1.0 / hosts })))
		}
		serve := func() {
			for range perHost {
				for _, r := range routers {
					ticket, err := r.Acquire(t.Context(), query())
					must.NoError(t, err)
					ticket.Finish(route.Report{Latency: time.Millisecond})
				}
			}
		}
		serve()
		time.Sleep(3 * window)
		serve()
		retries := 0
		for _, r := range routers {
			for r.AllowRetry(t.Context(), service) != "" {
				retries++
			}
		}
		must.LessEq(t, int(share*hosts*perHost)+allowance, retries)
	})
}

// Guards against retries that each start of a host adds to those of the service.
func TestRetriesOfHostsThatStartAgainStayWithinTheAllowance(t *testing.T) {
	const (
		hosts, starts = 190, 3
		allowance     = 303
	)
	synctest.Test(t, func(t *testing.T) {
		terms := contract.NewService(service, contract.WithRetryBudget(0.2), contract.WithRetryAllowance(allowance, 10*time.Second))
		retries := 0
		for range starts {
			for range hosts {
				r := realTimeRouter(1, 0,
					route.WithTerms(func(string) *contract.Service { return terms }),
					route.WithShare(func(string) float64 { return 1.0 / hosts }))
				for r.AllowRetry(t.Context(), service) != "" {
					retries++
				}
			}
			time.Sleep(time.Second)
		}
		must.LessEq(t, allowance, retries)
	})
}

// retryGrantor grants a number of retries.
type retryGrantor struct {
	mu     sync.Mutex
	left   int
	hedges bool // grants hedges too
	calls  int
	delay  time.Duration
}

func (g *retryGrantor) grant(_ context.Context, _ string, retries, hedges int) (route.RetryGrants, error) {
	time.Sleep(g.delay)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	granted := route.RetryGrants{Retries: min(retries, g.left), Validity: time.Second}
	g.left -= granted.Retries
	if g.hedges {
		granted.Hedges = min(hedges, g.left)
		g.left -= granted.Hedges
	}
	if granted.Retries+granted.Hedges < retries+hedges {
		granted.Pause = 100 * time.Millisecond
	}
	return granted, nil
}

func grantedRouter(g *retryGrantor, budget float64, allowance int) *route.Router {
	terms := contract.NewService(service, contract.WithRetryBudget(budget), contract.WithRetryAllowance(allowance, 10*time.Second))
	return realTimeRouter(1, 0, route.WithTerms(func(string) *contract.Service { return terms }), route.WithRetryGrants(g.grant))
}

func TestRetriesAndHedgesRespectTheBudgetAndTheAllowance(t *testing.T) {
	for name, c := range map[string]struct {
		budget    float64
		allowance int
		want      int
	}{
		"no budget":            {0, 0, 0},
		"earned":               {0.2, 0, 10}, // half of the share, of 100 requests
		"granted":              {0, 300, 20},
		"earned, then granted": {0.2, 300, 30},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := grantedRouter(&retryGrantor{left: 20, hedges: true}, c.budget, c.allowance)
				for range 101 { // one more for what is lost by rounding
					ticket, err := r.Acquire(t.Context(), query())
					must.NoError(t, err)
					ticket.Finish(route.Report{Latency: time.Millisecond})
				}
				time.Sleep(5 * time.Second) // hedges get what retries have left
				allowed := 0
				for n := range 60 {
					allow := r.AllowRetry
					if n%2 == 0 {
						allow = r.AllowHedge
					}
					if allow(t.Context(), service) != "" {
						allowed++
					}
				}
				must.Between(t, c.want-1, allowed, c.want)
			})
		})
	}
}

// Guards against a call to the control hosts for each of the requests that fail together.
func TestRetriesThatWaitForAGrantShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &retryGrantor{left: 30, delay: 5 * time.Millisecond}
		r := grantedRouter(g, 0, 300)
		var mu sync.Mutex
		allowed := 0
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				if r.AllowRetry(t.Context(), service) == route.Granted {
					mu.Lock()
					allowed++
					mu.Unlock()
				}
			})
		}
		group.Wait()
		must.Eq(t, 30, allowed)
		must.LessEq(t, 2, g.calls)
		must.Eq(t, "", r.AllowRetry(t.Context(), service)) // within the pause
		must.LessEq(t, 2, g.calls)
	})
}

// Guards against a grant that is used after the leader has counted it as expired.
func TestGrantThatArrivesTooLateIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &retryGrantor{left: 30, delay: 2 * time.Second}
		must.Eq(t, "", grantedRouter(g, 0, 300).AllowRetry(t.Context(), service))
	})
}

// Guards against a request that earns a part of a retry at each host and with each attempt.
func TestRequestEarnsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := grantedRouter(&retryGrantor{}, 1, 0)
		for range 100 {
			ticket, err := r.Acquire(t.Context(), query().Repeated())
			must.NoError(t, err)
			ticket.Finish(route.Report{Latency: time.Millisecond})
		}
		must.Eq(t, "", r.AllowRetry(t.Context(), service))
	})
}

// Guards against retries of failed requests that are refused because a hedge was.
func TestRefusedHedgeDoesNotKeepRetriesFromBeingRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := grantedRouter(&retryGrantor{left: 1}, 0, 300)
		must.Eq(t, "", r.AllowHedge(t.Context(), service))
		must.Eq(t, route.Granted, r.AllowRetry(t.Context(), service))
	})
}
