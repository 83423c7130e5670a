package quota_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/quota"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func newColdReplica(name string, now *time.Time, perSecond float64) *replica {
	r := &replica{log: &log{}}
	r.Service = quota.New(name, r.log, fleet.New(), quota.WithClock(func() time.Time { return *now }), quota.WithTerms(func(service string) *contract.Service {
		if service != "shop" {
			return contract.NewService(service)
		}
		return contract.NewService(service, contract.WithColdRate(perSecond))
	}))
	return r
}

func coldRequest(host string, wanted uint32, instances ...string) *wire.GrantRequest {
	return &wire.GrantRequest{Host: host, Wanted: wanted, Service: "shop", Cold: instances}
}

// shortestTerm is the shortest term of a leader: the time after which the others miss it.
const shortestTerm = 2 * time.Second

// Guards against grants to a cold instance whose use at the worst moment of their validity
// adds up to more than it tolerates in a second, with former leaders that go on granting for
// some time.
func TestGrantsOfAllLeadersStayWithinWhatAColdInstanceTolerates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 20).Draw(t, "limit")
		names := rapid.Bool().Draw(t, "names")   // the instance also names a rate limit
		mostBelief := int(min(1500, 4000/limit)) // a second at the rate of 4/s, 1.5 s below
		now := time.Unix(1000, 0)
		replicas := []*replica{newColdReplica("a", &now, limit), newColdReplica("b", &now, limit), newColdReplica("c", &now, limit)}
		leader, term := 0, uint64(1)
		former, believes, elected := -1, now, now
		replicas[leader].follow("a", term, now)
		var uses []use
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 && now.Sub(elected) >= shortestTerm {
				elected = now
				former, believes = leader, now.Add(time.Duration(rapid.IntRange(0, mostBelief).Draw(t, "belief"))*time.Millisecond)
				leader, term = (leader+rapid.IntRange(1, 2).Draw(t, "next"))%len(replicas), term+1
				replicas[leader].follow([]string{"a", "b", "c"}[leader], term, now)
			}
			asked := []int{leader}
			if former >= 0 && now.Before(believes) {
				asked = append(asked, former)
			}
			for _, n := range asked {
				req := coldRequest("e"+strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "host")), uint32(rapid.IntRange(1, 100).Draw(t, "wanted")), "x")
				if names {
					req.RateLimits = request("", 0, 50, "x").GetRateLimits()
				}
				response, err := replicas[n].Grant(context.Background(), req)
				must.NoError(t, err)
				uses = append(uses, use{from: now, until: now.Add(time.Duration(response.GetValidNs())), requests: count(response)})
			}
		}
		for _, first := range uses {
			n := 0
			for _, u := range uses {
				if u.until.After(first.until) && u.from.Before(first.until.Add(time.Second)) {
					n += u.requests
				}
			}
			must.LessEq(t, 1.5*limit+8, float64(n))
		}
	})
}

// Guards against a service without usable instances for as long as a new leader waits, when
// all of them are cold.
func TestNewLeaderGrantsColdInstancesAtOnceAndOthersLater(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newColdReplica("a", &now, 1.6)
	r.follow("a", 1, now)
	granted := 0
	for range 10 {
		response, err := r.Grant(context.Background(), coldRequest("e", 9, "x"))
		must.NoError(t, err)
		granted += count(response)
		now = now.Add(100 * time.Millisecond)
	}
	must.Eq(t, 1, granted) // 1.44 in 0.9 s
	both := request("e", 9, 50, "y")
	both.Service, both.Cold = "shop", []string{"y"}
	response, err := r.Grant(context.Background(), both)
	must.NoError(t, err)
	must.Eq(t, 1, count(response)) // 1.6 in 1 s: hosts drop what 50 a second gave them
	named := request("e", 9, 50, "z")
	named.Service, named.Cold = "shop", []string{"y"}
	response, err = r.Grant(context.Background(), named)
	must.NoError(t, err)
	must.Zero(t, count(response)) // a former leader may have granted it 50 a second
	must.True(t, response.GetColdOnly())
	now = now.Add(time.Second)
	response, err = r.Grant(context.Background(), named)
	must.NoError(t, err)
	must.Eq(t, 3, count(response)) // 1 and, of the cold instance, what is saved at most
	must.False(t, response.GetColdOnly())
}

// Guards against a cold instance that gets the higher one of its two limits.
func TestLowerLimitOfAColdInstanceApplies(t *testing.T) {
	for _, test := range []struct{ named, cold, want float64 }{{50, 1.6, 1.6}, {0.5, 1.6, 0.5}} {
		now := time.Unix(1000, 0)
		r := newColdReplica("a", &now, test.cold)
		r.follow("a", 1, now.Add(-time.Hour))
		granted := 0
		for range 1000 {
			req := request("e", 100, test.named, "x")
			req.Service, req.Cold = "shop", []string{"x"}
			response, err := r.Grant(context.Background(), req)
			must.NoError(t, err)
			granted += count(response)
			now = now.Add(100 * time.Millisecond)
		}
		must.Between(t, 100*test.want-2, float64(granted), 100*test.want+2)
	}
}

// Rules of another version, or a request about another service, must not turn a cold
// instance into one without a limit.
func TestColdInstancesOfAServiceWithoutALimitAreNotGranted(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newColdReplica("a", &now, 1.6)
	r.follow("a", 1, now.Add(-time.Hour))
	req := coldRequest("e", 9, "x")
	req.Service = "other"
	response, err := r.Grant(context.Background(), req)
	must.NoError(t, err)
	must.Zero(t, count(response))
}

// Guards against grants that add up at high rates, and against ones that are over at once at a
// rate so low that the time exceeds its type.
func TestValidityOfGrantsToColdInstances(t *testing.T) {
	for perSecond, want := range map[float64]time.Duration{1e-320: 1500 * time.Millisecond, 1e-10: 1500 * time.Millisecond, 1.6: 1500 * time.Millisecond, 4: time.Second, 40: 550 * time.Millisecond} {
		now := time.Unix(1000, 0)
		r := newColdReplica("a", &now, perSecond)
		r.follow("a", 1, now.Add(-time.Hour))
		response, err := r.Grant(context.Background(), coldRequest("e", 9, "x"))
		must.NoError(t, err)
		must.Eq(t, want, time.Duration(response.GetValidNs()))
	}
}
