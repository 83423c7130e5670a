package quota_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/quota"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
)

// limits are the rates of organisations without a burst.
type limits map[string]float64

func newOrganisationReplica(now *time.Time, rules limits) *replica {
	r := &replica{log: &log{}}
	r.Service = quota.New("a", r.log, fleet.New(), quota.WithClock(func() time.Time { return *now }),
		quota.WithSuspended(func() time.Duration { return r.suspended }),
		quota.WithOrganisations(func(name string) *contract.Organisation {
			if _, known := rules[name]; !known {
				return nil
			}
			return contract.NewOrganisation(name, contract.WithOrganisationRate(rules[name]))
		}))
	return r
}

// caller is the side of one host of calls for one organisation.
type caller struct {
	t                       *testing.T
	host                    string
	sequence, applied, term uint64
}

func (c *caller) need(r *replica, need *wire.OrganisationNeed) (*wire.OrganisationGrantResponse, error) {
	c.sequence++
	need.Organisation = "nord"
	return r.GrantOrganisations(c.t.Context(), &wire.OrganisationGrantRequest{
		Host: c.host, Sequence: c.sequence, Applied: c.applied, Term: c.term, Needs: []*wire.OrganisationNeed{need},
	})
}

func (c *caller) grant(r *replica, need *wire.OrganisationNeed) *wire.OrganisationGrant {
	c.t.Helper()
	response, err := c.need(r, need)
	must.NoError(c.t, err)
	must.True(c.t, response.GetLeader())
	c.applied, c.term = c.sequence, response.GetTerm()
	return response.GetGrants()[0]
}

func TestOnlyALeaderWithAQuorumGrantsOrganisations(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 10})
	c := &caller{t: t, host: "e1"}
	r.follow("b", 1, time.Time{})
	response, err := c.need(r, &wire.OrganisationNeed{Waiting: 1})
	must.NoError(t, err)
	must.False(t, response.GetLeader())
	must.Eq(t, "b:1", response.GetLeaderAddress())
	r.log.status = agreement.NewStatus("a", "a:1", 1, 0, false, nil)
	_, err = c.need(r, &wire.OrganisationNeed{Waiting: 1})
	must.Error(t, err)
	r.follow("a", 2, now)
	must.Eq(t, 1, c.grant(r, &wire.OrganisationNeed{Waiting: 1}).GetRequests()) // from its first moment
	r.log.status = r.log.status.WithAsOf(now.Add(-400 * time.Millisecond))      // it waits for its disk
	_, err = c.need(r, &wire.OrganisationNeed{Waiting: 1})
	must.Error(t, err)
	r.log.status = r.log.status.WithAsOf(now)
	must.Eq(t, 1, c.grant(r, &wire.OrganisationNeed{Waiting: 1}).GetRequests())
	r.suspended = time.Second // another host may lead
	_, err = c.need(r, &wire.OrganisationNeed{Waiting: 1})
	must.Error(t, err)
	now = now.Add(quota.Validity)
	r.log.status = r.log.status.WithAsOf(now)
	must.Eq(t, 1, c.grant(r, &wire.OrganisationNeed{Waiting: 1}).GetRequests())
}

// Guards against a new leader that has not applied the rules which its predecessor committed,
// takes an organisation with a limit for one without, and grants all that is asked for.
func TestNewLeaderGrantsOnlyOnceItsRulesAreCurrent(t *testing.T) {
	now := time.Unix(1000, 0)
	rules := limits{}
	r := newOrganisationReplica(&now, rules)
	r.follow("a", 2, now)
	r.log.behind = agreement.ErrNoQuorum
	c := &caller{t: t, host: "e1"}
	_, err := c.need(r, &wire.OrganisationNeed{Waiting: 100})
	must.Error(t, err)
	rules["nord"] = 1
	r.log.behind = nil
	must.Less(t, 100, c.grant(r, &wire.OrganisationNeed{Waiting: 100}).GetRequests())
	r.log.behind = agreement.ErrNoQuorum // is asked once in a term
	now = now.Add(2 * time.Second)
	must.Positive(t, c.grant(r, &wire.OrganisationNeed{Waiting: 1}).GetRequests())
	r.follow("a", 3, now)
	_, err = c.need(r, &wire.OrganisationNeed{Waiting: 1})
	must.Error(t, err)
}

// Guards against a call that arrives after a later one, and whose statement is outdated.
func TestCallThatArrivesAfterALaterOneGetsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 10})
	r.follow("a", 1, now.Add(-time.Hour))
	c := &caller{t: t, host: "e1"}
	c.sequence = 5
	c.grant(r, &wire.OrganisationNeed{Reserve: 4})
	c.sequence = 4
	_, err := c.need(r, &wire.OrganisationNeed{Reserve: 4})
	must.Error(t, err)
	c.sequence = 5
	_, err = c.need(r, &wire.OrganisationNeed{Reserve: 4}) // the same call again
	must.Error(t, err)
	_, err = c.need(r, &wire.OrganisationNeed{Reserve: 4})
	must.NoError(t, err)
}

// Guards against requests that are lost to an organisation because responses are lost.
func TestGrantsOfALostResponseReturnToTheBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 0.001})
	r.follow("a", 1, now.Add(-time.Hour))
	c := &caller{t: t, host: "e1"}
	for range 50 {
		now = now.Add(time.Second)
		_, err := c.need(r, &wire.OrganisationNeed{Waiting: 2, Reserve: 2})
		must.NoError(t, err)
	}
	must.Eq(t, 3, c.grant(r, &wire.OrganisationNeed{Waiting: 2, Reserve: 1}).GetRequests())
}

// Guards against a host that restarts, whose first call says nothing of what its former
// process got and spent.
func TestGrantsOfAFormerProcessCountAsSpent(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 0.001})
	r.follow("a", 1, now.Add(-time.Hour))
	granted := 0
	for n := range 50 {
		now = now.Add(time.Second)
		c := &caller{t: t, host: "e1", sequence: uint64(100 * n), applied: uint64(100 * n)}
		granted += int(c.grant(r, &wire.OrganisationNeed{Waiting: 1, Reserve: 1}).GetRequests())
	}
	must.LessEq(t, 10, granted) // half of the slack of 20
}

// Guards against a reserve that a host gives back and that is lost to the others.
func TestReturnedRequestsAreGrantedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 0.001})
	r.follow("a", 1, now.Add(-time.Hour))
	for n := range 50 {
		c := &caller{t: t, host: "e" + strconv.Itoa(n)}
		must.Eq(t, 1, c.grant(r, &wire.OrganisationNeed{Reserve: 1}).GetRequests())
		now = now.Add(time.Second)
		must.Zero(t, c.grant(r, &wire.OrganisationNeed{Returned: 1}).GetRequests())
	}
}

// Guards against a host that was cut off, has spent its reserve, and whose reserve is
// granted a second time.
func TestReserveOfASilentHostCountsAsSpent(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 0.001})
	r.follow("a", 1, now.Add(-time.Hour))
	granted := 0
	for n := range 50 {
		c := &caller{t: t, host: "e" + strconv.Itoa(n)}
		granted += int(c.grant(r, &wire.OrganisationNeed{Reserve: 1}).GetRequests())
		now = now.Add(4 * time.Second)
	}
	must.LessEq(t, 10, granted) // half of the slack of 20
}

// Guards against reserves that leave nothing for a request that waits at another host.
func TestReservesLeaveRequestsForThoseThatWait(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 1})
	r.follow("a", 1, now.Add(-time.Hour))
	for n := range 100 {
		c := &caller{t: t, host: "e" + strconv.Itoa(n)}
		c.grant(r, &wire.OrganisationNeed{Reserve: 3})
	}
	c := &caller{t: t, host: "other"}
	must.Eq(t, 3, c.grant(r, &wire.OrganisationNeed{Waiting: 3}).GetRequests())
}

// Guards against a refusal that does not say when a request may be granted, and against
// many that are told the same moment.
func TestRefusalSaysWhenARequestMayBeGranted(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOrganisationReplica(&now, limits{"nord": 10})
	r.follow("a", 1, now.Add(-time.Hour))
	c := &caller{t: t, host: "e1"}
	first := c.grant(r, &wire.OrganisationNeed{Waiting: 100})
	must.Less(t, 20, first.GetRequests())
	must.Between(t, int64(time.Second), first.GetRetryAfterNs(), int64(2*time.Second))
	now = now.Add(2 * time.Second)
	must.Eq(t, 1, c.grant(r, &wire.OrganisationNeed{Waiting: 1}).GetRequests())
}

// Guards against a lowered limit that a full bucket outlives, and against one that is
// removed and still binds.
func TestChangedLimitIsInForceAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	rules := limits{"nord": 1000}
	r := newOrganisationReplica(&now, rules)
	r.follow("a", 1, now.Add(-time.Hour))
	c := &caller{t: t, host: "e1"}
	must.Eq(t, 100, c.grant(r, &wire.OrganisationNeed{Waiting: 100}).GetRequests())
	rules["nord"] = 1
	now = now.Add(time.Second)
	must.LessEq(t, 11, c.grant(r, &wire.OrganisationNeed{Waiting: 100}).GetRequests())
	delete(rules, "nord")
	must.Eq(t, 100, c.grant(r, &wire.OrganisationNeed{Waiting: 100}).GetRequests())
}

// Guards against a new leader that refuses what an organisation with a low rate rarely
// sends, and against one that lets reserves lapse which its predecessor granted.
func TestNewLeaderGrantsALittleAndRenewsReserves(t *testing.T) {
	now := time.Unix(1000, 0)
	rules := limits{"nord": 0.01}
	former, next := newOrganisationReplica(&now, rules), newOrganisationReplica(&now, rules)
	former.follow("a", 1, now.Add(-time.Hour))
	c := &caller{t: t, host: "e1"}
	must.Eq(t, 1, c.grant(former, &wire.OrganisationNeed{Reserve: 1}).GetRequests())
	next.follow("a", 2, now)
	other := &caller{t: t, host: "e2"}
	must.Eq(t, 1, other.grant(next, &wire.OrganisationNeed{Waiting: 1}).GetRequests())
	must.True(t, c.grant(next, &wire.OrganisationNeed{Held: 1, Reserve: 1}).GetRenewed())
	now = now.Add(3 * time.Second)
	late := &caller{t: t, host: "e3", term: 1}
	must.False(t, late.grant(next, &wire.OrganisationNeed{Held: 1, Reserve: 1}).GetRenewed()) // it has expired
}

// BenchmarkGrantOrganisations measures a call that names 17 organisations, as many as a host
// has served in the last 10 s, among 203 hosts.
func BenchmarkGrantOrganisations(b *testing.B) {
	now := time.Unix(1000, 0)
	r := &replica{log: &log{}}
	r.Service = quota.New("a", r.log, fleet.New(), quota.WithClock(func() time.Time { return now }),
		quota.WithOrganisations(func(name string) *contract.Organisation {
			return contract.NewOrganisation(name, contract.WithOrganisationRate(126), contract.WithOrganisationBurst(126))
		}))
	r.follow("a", 1, now.Add(-time.Hour))
	const hosts, named = 203, 17
	for n := range b.N {
		now = now.Add(3 * time.Millisecond)
		sequence := uint64(n/hosts) + 1
		req := &wire.OrganisationGrantRequest{Host: "e" + strconv.Itoa(n%hosts), Sequence: sequence, Applied: sequence - 1, Term: 1}
		for k := range named {
			req.Needs = append(req.Needs, &wire.OrganisationNeed{Organisation: "o" + strconv.Itoa((n+k)%85), Waiting: uint32(k / (named - 1)), Held: 1, Reserve: 1})
		}
		if _, err := r.GrantOrganisations(b.Context(), req); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against leaders that each grant the whole burst, and against one that never grants
// it again although nobody uses it.
func TestNewLeadersDoNotGrantTheBurstAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	terms := contract.NewOrganisation("nord", contract.WithOrganisationRate(1), contract.WithOrganisationBurst(100))
	granted, first := 0, now
	c := &caller{t: t, host: "e1"}
	for term := range uint64(3) {
		r := &replica{log: &log{}}
		r.Service = quota.New("a", r.log, fleet.New(), quota.WithClock(func() time.Time { return now }),
			quota.WithOrganisations(func(string) *contract.Organisation { return terms }))
		r.follow("a", term+1, now)
		if term == 0 {
			r.follow("a", 1, now.Add(-time.Hour))
		}
		for range 8 {
			granted += int(c.grant(r, &wire.OrganisationNeed{Waiting: 1000}).GetRequests())
			now = now.Add(200 * time.Millisecond)
		}
	}
	must.Less(t, 5*time.Second, now.Sub(first))
	must.LessEq(t, 135, granted) // (1 x 5 + 100) x 1.1 + 20
	idle := &replica{log: &log{}}
	idle.Service = quota.New("a", idle.log, fleet.New(), quota.WithClock(func() time.Time { return now }),
		quota.WithOrganisations(func(string) *contract.Organisation { return terms }))
	idle.follow("a", 9, now)
	c.grant(idle, &wire.OrganisationNeed{})
	now = now.Add(9 * time.Second)
	must.GreaterEq(t, 100, c.grant(idle, &wire.OrganisationNeed{Waiting: 1000}).GetRequests())
}

// Guards against a log line for each refused request.
func TestLimitOfAnOrganisationIsLoggedWhenItIsReachedAndLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	var lines strings.Builder
	r := &replica{log: &log{}}
	r.Service = quota.New("a", r.log, fleet.New(), quota.WithClock(func() time.Time { return now }),
		quota.WithLogger(hclog.New(&hclog.LoggerOptions{Output: &lines})),
		quota.WithOrganisations(func(name string) *contract.Organisation {
			return contract.NewOrganisation(name, contract.WithOrganisationRate(1))
		}))
	r.follow("a", 1, now.Add(-time.Hour))
	c := &caller{t: t, host: "e1"}
	for range 100 {
		c.grant(r, &wire.OrganisationNeed{Waiting: 10})
		now = now.Add(50 * time.Millisecond)
	}
	must.Eq(t, 1, strings.Count(lines.String(), "\n"))
	must.StrContains(t, lines.String(), "organisation reached its limit: organisation=nord")
	now = now.Add(3 * time.Second)
	c.grant(r, &wire.OrganisationNeed{Waiting: 1})
	must.Eq(t, 2, strings.Count(lines.String(), "\n"))
	must.StrContains(t, lines.String(), "organisation below its limit again")
}
