package route_test

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// newColdFixture returns a router of a service with a limit for cold instances, to which
// the leader grants the given number of requests at every call.
func newColdFixture(n, granted int, policy route.Policy) *fixture {
	terms := contract.NewService(service, contract.WithColdRate(1.6))
	return newFixture(n, policy, route.WithTerms(func(string) *contract.Service { return terms }),
		route.WithGrants(func(_ context.Context, _ int, members []route.Member) (route.Grants, error) {
			grants := route.Grants{Requests: map[instance.ID]int{}, Validity: grantValidity}
			for _, m := range members {
				grants.Requests[m.Instance().ID()] = granted
			}
			return grants, nil
		}))
}

func (f *fixture) probed(n int, warmup route.Warmup) {
	f.router.RecordProbe(f.members[n], route.ProbeReport{Answered: true, Healthy: true, Warmup: warmup})
}

// sendable returns how many requests the router sends at once, of the given number.
func (f *fixture) sendable(t *testing.T, requests int) int {
	t.Helper()
	n := 0
	for range requests {
		if ticket := f.router.Try(query()); ticket != nil {
			n++
			ticket.Finish(route.Report{Latency: time.Millisecond})
		}
	}
	return n
}

func TestColdInstanceGetsOnlyWhatIsGranted(t *testing.T) {
	for _, policy := range []string{contract.PolicyAdaptive, contract.PolicyRandom, contract.PolicyRoundRobin, contract.PolicyLeast, contract.PolicyPowerOfTwo, contract.PolicyPeakEWMA} {
		f := newColdFixture(1, 2, route.ByName(policy))
		f.change(0, instance.WithCold(true), instance.WithWarmupLeft(3*time.Second))
		must.Zero(t, f.sendable(t, 5), must.Sprint(policy)) // also retries and hedges
		_, waiter, err := f.router.Offer(query(), func(ticket *route.Ticket, err error) {
			must.NoError(t, err)
			ticket.Finish(route.Report{Latency: time.Millisecond})
		})
		must.NoError(t, err)
		must.NotNil(t, waiter)
		f.router.RequestGrants(context.Background())
		must.False(t, waiter.Cancel()) // it was sent
		must.Eq(t, 1, f.sendable(t, 5), must.Sprint(policy))
		f.now += int64(3 * time.Second)
		must.Eq(t, 5, f.sendable(t, 5), must.Sprint(policy))
	}
}

func TestColdInstanceOfAServiceWithoutALimitIsNotLimited(t *testing.T) {
	f := newFixture(1, route.NewAdaptive())
	f.change(0, instance.WithCold(true), instance.WithWarmupLeft(3*time.Second))
	f.probed(0, route.NewWarmup(time.Second))
	must.Eq(t, 5, f.sendable(t, 5))
}

// Guards against an instance that is limited later than a host hears of it, or for longer than
// it states.
func TestColdTimeOfRecordsAndProbes(t *testing.T) {
	cold := func(left time.Duration) []instance.Option {
		return []instance.Option{instance.WithCold(true), instance.WithWarmupLeft(left)}
	}
	for name, test := range map[string]struct {
		run  func(f *fixture)
		cold time.Duration // from the end of run on
	}{
		"never":                        {func(*fixture) {}, 0},
		"a record":                     {func(f *fixture) { f.change(0, cold(3*time.Second)...) }, 3 * time.Second},
		"a record without a time":      {func(f *fixture) { f.change(0, instance.WithCold(true)) }, math.MaxInt64},
		"a record that ends it":        {func(f *fixture) { f.change(0, cold(3*time.Second)...); f.change(0) }, 0},
		"a probe":                      {func(f *fixture) { f.probed(0, route.NewWarmup(time.Second)) }, time.Second},
		"a probe that states more":     {func(f *fixture) { f.change(0, cold(time.Second)...); f.probed(0, route.NewWarmup(2*time.Second)) }, 2 * time.Second},
		"a probe that states the end":  {func(f *fixture) { f.change(0, cold(time.Second)...); f.probed(0, route.NewWarmup(0)) }, 0},
		"a probe that states nothing":  {func(f *fixture) { f.change(0, cold(time.Second)...); f.probed(0, route.Warmup{}) }, time.Second},
		"an older record after probes": {func(f *fixture) { f.probed(0, route.NewWarmup(time.Second)); f.change(0) }, time.Second},
		"a record that changes in another way": {func(f *fixture) {
			f.change(0, cold(3*time.Second)...)
			f.now += int64(time.Second)
			f.change(0, append(cold(3*time.Second), instance.WithZone("z"))...)
		}, 2 * time.Second},
		"cold again for the same time": {func(f *fixture) {
			f.change(0, append(cold(3*time.Second), instance.WithWarmupSequence(1))...)
			f.now += int64(2 * time.Second)
			f.change(0, append(cold(3*time.Second), instance.WithWarmupSequence(2))...)
		}, 3 * time.Second},
		"cold again": {func(f *fixture) {
			f.change(0, cold(time.Second)...)
			f.now += int64(5 * time.Second)
			f.change(0)
			f.change(0, cold(2*time.Second)...)
		}, 2 * time.Second},
		"a negative time": {func(f *fixture) { f.probed(0, route.NewWarmup(-time.Second)) }, 0},
		"a time too long": {func(f *fixture) { f.probed(0, route.NewWarmup(math.MaxInt64)) }, instance.MaxWarmup},
	} {
		f := newColdFixture(1, 1, route.NewAdaptive())
		f.now = int64(100 * time.Hour)
		must.Eq(t, 1, f.sendable(t, 1))
		test.run(f)
		end := f.members[0].ColdUntil(f.now)
		if test.cold == math.MaxInt64 {
			must.Eq(t, int64(math.MaxInt64), end, must.Sprint(name))
			continue
		}
		must.Eq(t, test.cold, time.Duration(max(end-f.now, 0)), must.Sprint(name))
		must.Eq(t, test.cold == 0, f.sendable(t, 1) == 1, must.Sprint(name))
		f.now += int64(test.cold)
		must.Eq(t, 1, f.sendable(t, 1), must.Sprint(name))
	}
}

// Guards against what was granted under a rate limit and is sent after the instance turned
// cold, which tolerates far less.
func TestGrantsOfARateLimitEndWhenTheInstanceTurnsCold(t *testing.T) {
	f := newColdFixture(1, 20, route.NewAdaptive())
	f.members[0].Load().RecordRateLimit(route.NewRateLimit(50), f.now)
	_, waiter, err := f.router.Offer(query(), func(*route.Ticket, error) {})
	must.NoError(t, err)
	must.NotNil(t, waiter)
	f.router.RequestGrants(context.Background())
	must.Eq(t, 3, f.sendable(t, 3))
	f.probed(0, route.NewWarmup(time.Second))
	must.Zero(t, f.sendable(t, 3))
	f.now += int64(time.Second) // it is warm again, the earlier grants are gone
	must.Zero(t, f.sendable(t, 3))
}

// Guards against grants that are asked for, and lost to other hosts, while the other
// instances are better, and against none when they are full.
func TestGrantsAreRequestedOnceColdInstancesAreNeeded(t *testing.T) {
	f := newColdFixture(3, 1, route.NewAdaptive(route.WithFill(1)))
	f.change(0, instance.WithCold(true), instance.WithWarmupLeft(time.Hour))
	cold := f.members[0].Load()
	for range 200 {
		f.now += int64(20 * time.Millisecond)
		must.Eq(t, 1, f.sendable(t, 1))
		f.router.RequestGrants(context.Background())
	}
	must.Zero(t, cold.InFlight())
	sent := 0
	for cold.InFlight() == 0 && sent < 50 {
		f.now += int64(20 * time.Millisecond)
		_, err := f.offer(query())
		must.NoError(t, err)
		sent++
		f.router.RequestGrants(context.Background())
	}
	must.Between(t, 4, sent, 8) // the others have 3 slots each
}

// Guards against requests to a cold instance that are lost to all hosts, as they were chosen
// for it and not sent, and against more of them than were granted.
func TestTicketThatIsReleasedReturnsItsGrant(t *testing.T) {
	f := newColdFixture(1, 1, route.NewAdaptive())
	f.change(0, instance.WithCold(true), instance.WithWarmupLeft(10*time.Second))
	var granted *route.Ticket
	_, _, err := f.router.Offer(query(), func(ticket *route.Ticket, _ error) { granted = ticket })
	must.NoError(t, err)
	f.router.RequestGrants(context.Background())
	granted.Release()
	must.Eq(t, 1, f.sendable(t, 3))
	_, _, err = f.router.Offer(query(), func(ticket *route.Ticket, _ error) { granted = ticket })
	must.NoError(t, err)
	f.router.RequestGrants(context.Background())
	f.now += int64(grantValidity)
	granted.Release()
	must.Zero(t, f.sendable(t, 3)) // it is over by now
}

// Guards against a host that nobody grants anything and that sends, in any time or at once
// after a long time, more than half of what it was granted in the seconds before.
func TestHostWithoutALeaderSendsHalfOfItsLastGrantsOnce(t *testing.T) {
	for _, gap := range []time.Duration{100 * time.Millisecond, time.Second, 20 * time.Second} {
		reachable, requests := true, 0
		terms := contract.NewService(service, contract.WithColdRate(5))
		f := newFixture(1, route.NewAdaptive(), route.WithTerms(func(string) *contract.Service { return terms }),
			route.WithGrants(func(_ context.Context, _ int, members []route.Member) (route.Grants, error) {
				if !reachable {
					return route.Grants{}, errUnreachable
				}
				return route.Grants{Requests: map[instance.ID]int{members[0].Instance().ID(): 1}, Validity: grantValidity}, nil
			}))
		f.change(0, instance.WithCold(true), instance.WithWarmupLeft(time.Hour))
		step := func(gap time.Duration) {
			_, waiter, err := f.router.Offer(query(), func(ticket *route.Ticket, _ error) {
				requests++
				ticket.Finish(route.Report{Latency: time.Millisecond})
			})
			must.NoError(t, err)
			f.router.RequestGrants(context.Background())
			if waiter != nil {
				waiter.Cancel()
			}
			f.now += int64(gap)
		}
		for range 50 {
			step(200 * time.Millisecond)
		}
		must.GreaterEq(t, 45, requests)
		reachable, requests = false, 0
		for range 600 {
			step(gap)
		}
		must.Between(t, 1, requests, 8, must.Sprint(gap)) // 15 were granted in 3 s
	}
}

// Guards against an instance that stays limited, on a host whose clock is set back, for as long
// as the clock was set back.
func TestClockThatIsSetBackDoesNotProlongTheColdTime(t *testing.T) {
	record := []instance.Option{instance.WithCold(true), instance.WithWarmupLeft(3 * time.Second)}
	for name, test := range map[string]struct {
		run  func(f *fixture)
		most time.Duration // for which it counts as cold after the clock was set back
	}{
		"a record":               {func(f *fixture) { f.change(0, record...); f.now += int64(time.Second) }, 3 * time.Second},
		"a probe":                {func(f *fixture) { f.probed(0, route.NewWarmup(3*time.Second)); f.now += int64(time.Second) }, 3 * time.Second},
		"a record that ended it": {func(f *fixture) { f.change(0, record...); f.now += int64(4 * time.Second); f.change(0) }, 0},
		"a probe that ended it":  {func(f *fixture) { f.change(0, record...); f.now += int64(time.Second); f.probed(0, route.NewWarmup(0)) }, 0},
	} {
		f := newColdFixture(1, 1, route.NewAdaptive())
		f.now = int64(100 * time.Hour)
		test.run(f)
		f.now += int64(time.Second)
		f.sendable(t, 1)
		f.now -= int64(time.Hour)
		must.Eq(t, test.most == 0, f.sendable(t, 1) == 1, must.Sprint(name))
		f.now += int64(test.most)
		must.Eq(t, 1, f.sendable(t, 1), must.Sprint(name))
	}
}

// Guards against grants that outlive their validity on a host whose clock is set back.
func TestClockThatIsSetBackDoesNotProlongGrants(t *testing.T) {
	f := newColdFixture(1, 2, route.NewAdaptive())
	f.change(0, instance.WithCold(true), instance.WithWarmupLeft(time.Hour))
	_, waiter, err := f.router.Offer(query(), func(ticket *route.Ticket, _ error) { ticket.Finish(route.Report{Latency: time.Millisecond}) })
	must.NoError(t, err)
	f.router.RequestGrants(context.Background())
	must.False(t, waiter.Cancel())
	f.now -= int64(time.Minute)
	must.Zero(t, f.sendable(t, 2)) // one of the two is left
}

// Guards against a host that asks for no grants, or for all that the leader has, until its
// clock has caught up after it was set back.
func TestClockThatIsSetBackChangesNoCallForGrants(t *testing.T) {
	var wanted []int
	steady := int64(0)
	terms := contract.NewService(service, contract.WithColdRate(1.6))
	f := newFixture(1, route.NewAdaptive(), route.WithTerms(func(string) *contract.Service { return terms }), route.WithSteadyClock(func() int64 { return steady }),
		route.WithGrants(func(_ context.Context, n int, members []route.Member) (route.Grants, error) {
			wanted = append(wanted, n)
			return route.Grants{Requests: map[instance.ID]int{members[0].Instance().ID(): 1}, Validity: grantValidity, Pause: 100 * time.Millisecond}, nil
		}))
	f.change(0, instance.WithCold(true), instance.WithWarmupLeft(time.Hour))
	for n := range 20 {
		if n == 10 {
			f.now -= int64(time.Minute)
		}
		_, waiter, err := f.router.Offer(query(), func(ticket *route.Ticket, _ error) { ticket.Finish(route.Report{Latency: time.Millisecond}) })
		must.NoError(t, err)
		f.router.RequestGrants(context.Background())
		if waiter != nil {
			waiter.Cancel()
		}
		f.now, steady = f.now+int64(500*time.Millisecond), steady+int64(500*time.Millisecond)
	}
	must.GreaterEq(t, 15, len(wanted))
	must.LessEq(t, 4, slices.Max(wanted))
}

// Guards against instances with a rate limit that get nothing while a new leader grants only
// cold instances, though without an answer they would get a share of what they got before.
func TestHostKeepsAShareOfRateLimitsWhileOnlyColdInstancesAreGranted(t *testing.T) {
	var f *fixture
	coldOnly := false
	terms := contract.NewService(service, contract.WithColdRate(1.6))
	f = newFixture(2, route.NewAdaptive(), route.WithTerms(func(string) *contract.Service { return terms }),
		route.WithGrants(func(context.Context, int, []route.Member) (route.Grants, error) {
			grants := route.Grants{ColdOnly: coldOnly, Validity: grantValidity, Requests: map[instance.ID]int{}}
			if !coldOnly {
				grants.Requests[f.members[0].Instance().ID()], grants.Requests[f.members[1].Instance().ID()] = 1, 1
			}
			return grants, nil
		}))
	f.change(0, instance.WithCold(true), instance.WithWarmupLeft(time.Hour))
	f.members[1].Load().RecordRateLimit(route.NewRateLimit(50), f.now)
	sent := map[instance.ID]int{}
	run := func(d time.Duration) {
		clear(sent)
		for end := f.now + int64(d); f.now < end; f.now += int64(100 * time.Millisecond) {
			_, waiter, err := f.router.Offer(query(), func(ticket *route.Ticket, _ error) {
				sent[ticket.Instance().ID()]++
				ticket.Finish(route.Report{Latency: time.Millisecond})
			})
			must.NoError(t, err)
			f.router.RequestGrants(context.Background())
			if waiter != nil {
				waiter.Cancel()
			}
		}
	}
	run(10 * time.Second)
	coldOnly = true
	run(2 * grantValidity) // what was granted before is used up
	run(3 * time.Second)
	must.Between(t, 3, sent[f.members[1].Instance().ID()], 15)
	must.Zero(t, sent[f.members[0].Instance().ID()])
}
