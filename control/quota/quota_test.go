package quota_test

import (
	"context"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/quota"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

// log is a log of which only the status is used.
type log struct {
	agreement.Log
	status agreement.Status
	behind error // of the applied state, nil if it is current
}

func (l *log) Status() agreement.Status { return l.status }

func (l *log) Confirm(context.Context) error { return l.behind }

// replica is one control host.
type replica struct {
	*quota.Service
	log       *log
	suspended time.Duration
}

func newReplica(name string, now *time.Time) *replica {
	r := &replica{log: &log{}}
	r.Service = quota.New(name, r.log, fleet.New(), quota.WithClock(func() time.Time { return *now }))
	return r
}

func (r *replica) follow(leader string, term uint64, since time.Time) {
	r.log.status = agreement.NewStatus(leader, leader+":1", term, 0, true, nil).WithLeadsSince(since)
}

func request(host string, wanted uint32, perSecond float64, instances ...string) *wire.GrantRequest {
	req := &wire.GrantRequest{Host: host, Wanted: wanted}
	for _, name := range instances {
		req.RateLimits = append(req.RateLimits, &wire.RateLimit{Instance: name, PerSecond: perSecond, AgeNs: int64(time.Millisecond)})
	}
	return req
}

func count(response *wire.GrantResponse) int {
	n := 0
	for _, grant := range response.GetGrants() {
		n += int(grant.GetRequests())
	}
	return n
}

// use is a grant that a host may use until a time.
type use struct {
	from, until time.Time
	requests    int
}

// Guards against grants that add up to more than an instance's rate limit, with many
// hosts, and over changes of the leader.
func TestGrantsOfAllLeadersStayWithinTheRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.3, 50).Draw(t, "limit")
		now := time.Unix(1000, 0)
		replicas := []*replica{newReplica("a", &now), newReplica("b", &now)}
		leader, term, since := 0, uint64(1), now
		var uses []use
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "change") == 0 {
				leader, term, since = 1-leader, term+1, now
			}
			for n, r := range replicas {
				r.follow([]string{"a", "b"}[leader], term, map[bool]time.Time{true: since}[n == leader])
			}
			host := "e" + strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "host"))
			response, err := replicas[leader].Grant(context.Background(), request(host, uint32(rapid.IntRange(1, 100).Draw(t, "wanted")), limit, "x"))
			if err == nil {
				uses = append(uses, use{from: now, until: now.Add(time.Duration(response.GetValidNs())), requests: count(response)})
			}
		}
		for _, first := range uses {
			n := 0
			end := first.until.Add(4 * time.Second)
			for _, u := range uses {
				if u.until.After(first.until) && u.from.Before(end) {
					n += u.requests
				}
			}
			must.LessEq(t, 1.5*4*limit+5, float64(n))
		}
	})
}

func TestAllOfTheRateLimitIsGrantedToHostsThatAskOften(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReplica("a", &now)
	r.follow("a", 1, now.Add(-time.Hour))
	granted := map[string]int{}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		for host, wanted := range map[string]uint32{"e1": 1, "e2": 1} {
			response, err := r.Grant(context.Background(), request(host, wanted, 2.5, "x", "y"))
			must.NoError(t, err)
			granted[host] += count(response)
		}
	}
	must.Between(t, 145, granted["e1"]+granted["e2"], 152) // 2 instances, 30 s
	must.GreaterEq(t, 40, granted["e1"])
	must.GreaterEq(t, 40, granted["e2"])
}

func TestOnlyALeaderWithAQuorumGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReplica("a", &now)
	r.follow("b", 1, time.Time{})
	response, err := r.Grant(context.Background(), request("e", 1, 5, "x"))
	must.NoError(t, err)
	must.False(t, response.GetLeader())
	must.Eq(t, "b:1", response.GetLeaderAddress())
	r.log.status = agreement.NewStatus("a", "a:1", 1, 0, false, nil)
	_, err = r.Grant(context.Background(), request("e", 1, 5, "x"))
	must.Error(t, err)
	r.follow("a", 2, now)
	_, err = r.Grant(context.Background(), request("e", 1, 5, "x"))
	must.Error(t, err) // the grants of the previous leader are valid
	now = now.Add(quota.Validity)
	response, err = r.Grant(context.Background(), request("e", 1, 5, "x"))
	must.NoError(t, err)
	must.Eq(t, 1, count(response))
}

// Guards against a rate limit that has ended for one host and binds another, which asks
// for grants, for good.
func TestHostWithAnEndedRateLimitIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReplica("a", &now)
	r.follow("a", 1, now.Add(-time.Hour))
	_, err := r.Grant(context.Background(), request("e1", 1, 5, "x"))
	must.NoError(t, err)
	now = now.Add(time.Second)
	ended := &wire.GrantRequest{Host: "e2", RateLimits: []*wire.RateLimit{{Instance: "x", Ended: true}}}
	_, err = r.Grant(context.Background(), ended)
	must.NoError(t, err)
	now = now.Add(time.Second)
	stale := request("e1", 1, 5, "x")
	stale.RateLimits[0].AgeNs = int64(2 * time.Second)
	response, err := r.Grant(context.Background(), stale)
	must.NoError(t, err)
	must.Zero(t, count(response))
	must.Len(t, 1, response.GetRateLimits())
	must.True(t, response.GetRateLimits()[0].GetEnded())
}

func TestMoreHostsPauseLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReplica("a", &now)
	r.follow("a", 1, now.Add(-time.Hour))
	var pause int64
	for n := range 200 {
		response, err := r.Grant(context.Background(), request("e"+strconv.Itoa(n), 1, 5, "x"))
		must.NoError(t, err)
		must.GreaterEq(t, pause, response.GetPauseNs())
		pause = response.GetPauseNs()
	}
	must.Eq(t, int64(time.Second)/2, pause)
}

// Guards against an instance that named a limit of 0 and gets nothing for good, though the
// limit has ended.
func TestInstanceWithALimitOfZeroIsTriedNowAndThen(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReplica("a", &now)
	r.follow("a", 1, now.Add(-time.Hour))
	n := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		response, err := r.Grant(context.Background(), request("e", 1, 0, "x"))
		must.NoError(t, err)
		n += count(response)
	}
	must.Between(t, 5, n, 6)
}
