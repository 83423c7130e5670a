package route_test

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"pgregory.net/rapid"
)

// inZones gives each instance a zone, round about.
func (f *fixture) inZones(slots int, zones ...string) {
	members := append([]route.Member(nil), f.members...)
	for n, m := range members {
		i := instance.New(m.Instance().ID(), service, "", instance.WithZone(zones[n%len(zones)]), instance.WithSlots(slots))
		members[n] = route.NewMember(i, m.Load())
	}
	f.members = members
	f.publish()
}

// evacuate publishes views in which exactly the given zones are evacuated.
func (f *fixture) evacuate(zones ...string) {
	members := append([]route.Member(nil), f.members...)
	for n, m := range members {
		evacuated := false
		for _, zone := range zones {
			evacuated = evacuated || m.Instance().Zone() == zone
		}
		members[n] = m.WithEvacuated(evacuated)
	}
	f.members = members
	f.publish()
}

var allPolicies = []string{
	contract.PolicyAdaptive, contract.PolicyRandom, contract.PolicyRoundRobin, contract.PolicyLeast, contract.PolicyPowerOfTwo,
	contract.PolicyPeakEWMA,
}

// TestNothingGoesToAnEvacuatedZone checks each policy with small and large services, with
// requests, retries and hedges (which exclude the instances of earlier attempts), while
// instances fail and are ejected.
func TestNothingGoesToAnEvacuatedZone(t *testing.T) {
	for _, name := range allPolicies {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			n := rapid.SampledFrom([]int{3, 12, 90}).Draw(t, "instances")
			f := newFixture(n, route.ByName(name), route.WithHost("entry-1"))
			f.inZones(2, "a", "b", "c")
			evacuated := rapid.SampledFrom([][]string{{"a"}, {"b"}, {"a", "b"}}).Draw(t, "evacuated")
			at := rapid.IntRange(0, 30).Draw(t, "at")
			var open []*route.Ticket
			for step := range 60 {
				f.now += int64(5 * time.Millisecond)
				if step == at {
					f.evacuate(evacuated...)
				}
				q := route.NewQuery(service, contract.New(), "studio", rapid.SampledFrom([]string{"a", "c"}).Draw(t, "zone"))
				if len(open) > 0 && rapid.Bool().Draw(t, "repeat") {
					q = route.NewQuery(service, contract.New(), "studio", "a", open[0].Instance().ID())
				}
				ticket, err := f.offer(q)
				if err == nil && ticket != nil {
					open = append(open, ticket)
					if step >= at {
						must.SliceNotContains(t, evacuated, ticket.Instance().Zone())
						must.True(t, ticket.Usable())
					}
				}
				for len(open) > 2 {
					report := good
					if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
						report = failed
					}
					open[0].Finish(report)
					open = open[1:]
				}
			}
		}))
	}
}

// Guards against a request that holds a chosen instance while its zone is evacuated, and is
// sent there after that.
func TestChosenInstanceIsNotUsableOnceItsZoneIsEvacuated(t *testing.T) {
	f := newFixture(2, route.NewLeastLoaded())
	f.inZones(2, "a", "b")
	for range 2 {
		ticket, err := f.offer(query())
		must.NoError(t, err)
		must.True(t, ticket.Usable())
		f.evacuate(ticket.Instance().Zone())
		must.False(t, ticket.Usable())
		f.evacuate()
		must.True(t, ticket.Usable(), must.Sprint("the zone is in use again"))
	}
}

// Guards against a request that waits for a slot and gets one of an evacuated zone, which
// becomes free first.
func TestWaitingRequestGetsNoSlotOfAnEvacuatedZone(t *testing.T) {
	for _, soft := range []bool{false, true} {
		f := newFixture(2, route.NewAdaptive())
		f.inZones(1, "a", "b")
		held := map[string]*route.Ticket{}
		var waiter *route.Waiter
		var got *route.Ticket
		for waiter == nil {
			q := query().WithDeadline(time.Unix(0, f.now).Add(time.Minute))
			if soft {
				q = q.WithSoftDeadline(time.Unix(0, f.now).Add(30 * time.Second))
			}
			var ticket *route.Ticket
			var err error
			ticket, waiter, err = f.router.Offer(q, func(t *route.Ticket, _ error) { got = t })
			must.NoError(t, err)
			if ticket != nil {
				held[ticket.Instance().Zone()] = ticket
			}
		}
		must.MapLen(t, 2, held)
		f.evacuate("a")
		held["a"].Finish(good)
		must.Nil(t, got)
		held["b"].Finish(good)
		must.NotNil(t, got)
		must.Eq(t, "b", got.Instance().Zone())
	}
}

func TestServiceWithAllItsZonesEvacuatedIsRefused(t *testing.T) {
	for _, name := range allPolicies {
		f := newFixture(90, route.ByName(name), route.WithHost("entry-1"))
		f.inZones(2, "a", "b")
		f.evacuate("a", "b")
		_, err := f.offer(query())
		var problem *outcome.Problem
		must.True(t, errors.As(err, &problem), must.Sprint(name))
		must.Eq(t, outcome.NoInstance, problem.Reason())
		must.Eq(t, outcome.NotRun, problem.Kind())
		must.StrContains(t, problem.Detail(), "evacuated")
		f.evacuate("a")
		ticket, err := f.offer(query())
		must.NoError(t, err)
		must.Eq(t, "b", ticket.Instance().Zone())
	}
}

// Guards against waiting requests that are kept when the last zone of their service is
// evacuated.
func TestWaitingRequestsAreRefusedWhenNoZoneIsLeft(t *testing.T) {
	f := newFixture(1, route.NewAdaptive())
	f.inZones(1, "a")
	var refused error
	var waiter *route.Waiter
	for waiter == nil {
		var err error
		_, waiter, err = f.router.Offer(query(), func(_ *route.Ticket, err error) { refused = err })
		must.NoError(t, err)
	}
	f.evacuate("a")
	must.Error(t, refused)
}

// Guards against an evacuation after which so many of the remaining instances may be ejected
// that none is left.
func TestEvacuatedInstancesDoNotRaiseTheBoundOfEjections(t *testing.T) {
	const n = 20
	f := newFixture(n, route.NewRoundRobin())
	f.inZones(4, "a", "b", "b", "b", "b")
	f.evacuate("b")
	for step := range 40 * n {
		f.now += int64(time.Millisecond)
		ticket, err := f.offer(query())
		must.NoError(t, err, must.Sprint(strconv.Itoa(step)))
		ticket.Finish(failed)
	}
	must.LessEq(t, 1, f.ejected()) // 0.4 of the 4 instances in use
}
