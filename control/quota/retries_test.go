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
	r.Service = quota.New(name, r.log, fleet.New(), quota.WithClock(func() time.Time { return *now }),
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
			change := rapid.IntRange(0, 30).Draw(t, "change")
			if change == 2 {
				now = now.Add(2 * window) // in which no host asks
			}
			if change == 0 {
				former = replicas[leader].log.status
				leader, term, since = 1-leader, term+1, now
				asked = leader
			}
			for n, r := range replicas {
				r.follow([]string{"a", "b"}[leader], term, map[bool]time.Time{true: since}[n == leader])
			}
			if change == 1 && former.Leader() != "" && !thawed { // it has not heard of its successor
				asked, thawed = 1-leader, true
				replicas[asked].log.status = former
			}
			wanted := uint32(rapid.IntRange(0, 100).Draw(t, "retries"))
			response, err := replicas[asked].GrantRetries(context.Background(), &wire.RetryGrantRequest{
				Host: "e" + strconv.Itoa(rapid.IntRange(0, 200).Draw(t, "host")), Service: "shop",
				Retries: wanted, Hedges: uint32(rapid.IntRange(0, 100).Draw(t, "hedges")),
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
	must.GreaterEq(t, 225, granted) // in one window
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
func TestSavedRetriesOfAFormerLeaderAreWithinTheAllowance(t *testing.T) {
	const allowance, window = 300, 10 * time.Second
	now := time.Unix(1000, 0)
	former, leader := newRetryReplica("a", &now, allowance, window), newRetryReplica("b", &now, allowance, window)
	grant := func(r *replica) int {
		response, err := r.GrantRetries(t.Context(), &wire.RetryGrantRequest{Host: "e1", Service: "shop", Retries: allowance})
		must.NoError(t, err)
		return int(response.GetRetries())
	}
	former.follow("a", 1, now.Add(-time.Hour))
	leader.follow("b", 2, now)
	now = now.Add(time.Hour) // both have saved what they can
	granted := grant(former)
	for elapsed := time.Duration(0); elapsed <= window+quota.Validity; elapsed += 10 * time.Millisecond {
		granted += grant(leader)
		now = now.Add(10 * time.Millisecond)
	}
	must.LessEq(t, allowance, granted)
}
