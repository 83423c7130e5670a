package quota_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/quota"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func newRetryReplica(name string, now *time.Time, allowance int, window time.Duration) *replica {
	r := &replica{log: &log{}}
	suspended := quota.WithSuspended(func() time.Duration { return r.suspended })
	r.Service = quota.New(name, r.log, fleet.New(), quota.WithClock(func() time.Time { return *now }), suspended,
		quota.WithTerms(func(service string) *contract.Service {
			return contract.NewService(service, contract.WithRetryAllowance(allowance, window))
		}))
	return r
}

// Guards against retries that add up to more than the allowance, with any number of hosts,
// over changes of the leader, and with a former leader that does not know its successor yet.
func TestRetriesOfAllHostsAndLeadersStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(1, 700).Draw(t, "allowance")
		window := time.Duration(rapid.IntRange(2, 20).Draw(t, "window")) * time.Second
		now := time.Unix(1000, 0)
		replicas := []*replica{newRetryReplica("a", &now, allowance, window), newRetryReplica("b", &now, allowance, window)}
		leader, term, since := 0, uint64(1), now
		former, thawed := agreement.Status{}, false // status of the last leader, and whether it was used again
		var uses []use
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
			asked := leader
			change := rapid.IntRange(0, 40).Draw(t, "change") // small ones are drawn more often
			if change == 37 {
				now = now.Add(2 * window) // in which no host asks
			}
			if change == 38 {
				former = replicas[leader].log.status
				leader, term, since = 1-leader, term+1, now
				asked = leader
			}
			for n, r := range replicas {
				r.follow([]string{"a", "b"}[leader], term, map[bool]time.Time{true: since}[n == leader])
			}
			if change == 39 && former.Leader() != "" && !thawed { // it was suspended and has not heard of its successor
				asked, thawed = 1-leader, true
				replicas[asked].log.status = former
				replicas[asked].suspended += time.Second
			}
			wanted := uint32(rapid.SampledFrom([]int{0, 1, 1000}).Draw(t, "retries"))
			response, err := replicas[asked].GrantRetries(context.Background(), &wire.RetryGrantRequest{
				Host: "e" + strconv.Itoa(rapid.IntRange(0, 200).Draw(t, "host")), Service: "shop",
				Retries: wanted, Hedges: uint32(rapid.SampledFrom([]int{0, 1, 1000}).Draw(t, "hedges")),
			})
			if err == nil {
				must.LessEq(t, wanted, response.GetRetries())
				uses = append(uses, use{from: now, until: now.Add(time.Duration(response.GetValidNs())), requests: int(response.GetRetries() + response.GetHedges())})
			}
		}
		for _, first := range uses {
			n, end := 0, first.until.Add(window)
			for _, u := range uses {
				if !u.until.Before(first.until) && u.from.Before(end) {
					n += u.requests
				}
			}
			must.LessEq(t, allowance, n)
		}
	})
}

// Guards against an allowance that is there and of which callers get little.
func TestMostOfTheAllowanceIsGranted(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRetryReplica("a", &now, 300, 10*time.Second)
	r.follow("a", 1, now.Add(-time.Hour))
	granted := 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		response, err := r.GrantRetries(t.Context(), &wire.RetryGrantRequest{Host: "e1", Service: "shop", Retries: 10})
		must.NoError(t, err)
		granted += int(response.GetRetries())
	}
	must.GreaterEq(t, 270, granted) // in one window
}

func TestHedgesLeaveRetriesOfTheAllowance(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRetryReplica("a", &now, 300, 10*time.Second)
	r.follow("a", 1, now.Add(-time.Hour))
	hedges, err := r.GrantRetries(t.Context(), &wire.RetryGrantRequest{Host: "e1", Service: "shop", Hedges: 1000})
	must.NoError(t, err)
	must.Positive(t, hedges.GetHedges())
	must.Positive(t, hedges.GetPauseNs())
	retries, err := r.GrantRetries(t.Context(), &wire.RetryGrantRequest{Host: "e1", Service: "shop", Retries: 10})
	must.NoError(t, err)
	must.Eq(t, 10, retries.GetRetries())
	must.Zero(t, retries.GetPauseNs())
}

// Guards against a leader that was suspended, goes on granting what it had saved, and does
// not know its successor yet.
func TestLeaderGrantsNothingRightAfterItWasSuspended(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRetryReplica("a", &now, 300, 10*time.Second)
	r.follow("a", 1, now.Add(-time.Hour))
	grant := func() (*wire.RetryGrantResponse, error) {
		return r.GrantRetries(t.Context(), &wire.RetryGrantRequest{Host: "e1", Service: "shop", Retries: 300})
	}
	_, err := grant()
	must.NoError(t, err)
	now = now.Add(time.Hour)
	r.suspended = time.Second
	for range 3 {
		_, err = grant()
		must.Error(t, err)
		now = now.Add(quota.Validity / 4)
	}
	now = now.Add(quota.Validity / 4)
	response, err := grant()
	must.NoError(t, err)
	must.Zero(t, response.GetRetries()) // it has saved nothing
}
