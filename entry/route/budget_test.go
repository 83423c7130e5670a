package route_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/knownred"
)

// The retries that each host has saved add up over all hosts.
func TestSavedRetriesOfAllHostsStayWithinTheAllowance(t *testing.T) {
	const (
		hosts, perHost = 190, 30
		share          = 0.2
		allowance      = 303
		window         = 10 * time.Second
	)
	knownred.Skip(t)
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
			for r.AllowRetry(service) != "" {
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
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		terms := contract.NewService(service, contract.WithRetryBudget(0.2), contract.WithRetryAllowance(allowance, 10*time.Second))
		retries := 0
		for range starts {
			for range hosts {
				r := realTimeRouter(1, 0,
					route.WithTerms(func(string) *contract.Service { return terms }),
					route.WithShare(func(string) float64 { return 1.0 / hosts }))
				for r.AllowRetry(service) != "" {
					retries++
				}
			}
			time.Sleep(time.Second)
		}
		must.LessEq(t, allowance, retries)
	})
}
