package route_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

const zoneChoices = 200

// chosenInOtherZone returns how many of zoneChoices selections fall on the instance
// in another zone than this host.
func chosenInOtherZone(policy route.Policy, preference contract.ZonePreference) int {
	view := route.NewView("catalogue", []route.Member{
		route.NewMember(instance.New("near", "catalogue", "", instance.WithZone("shawinigan")), &route.Load{}),
		route.NewMember(instance.New("far", "catalogue", "", instance.WithZone("becancour")), &route.Load{}),
	})
	query := route.NewQuery("catalogue", contract.New(contract.WithZone(preference)), "studio", "shawinigan")
	random := route.NewRandom(rand.NewPCG(1, 2).Uint64)
	otherZone := 0
	for range zoneChoices {
		if policy.Choose(view, &query, 0, random, nil) == 1 {
			otherZone++
		}
	}
	return otherZone
}

func TestZonePreferenceOfTheRuleIsApplied(t *testing.T) {
	must.Zero(t, chosenInOtherZone(route.NewAdaptive(), contract.ZoneRequire))
	must.Zero(t, chosenInOtherZone(route.NewRoundRobin(), contract.ZoneRequire))
	must.Zero(t, chosenInOtherZone(route.NewAdaptive(), contract.ZonePrefer))
	must.Between(t, zoneChoices/4, chosenInOtherZone(route.NewAdaptive(), contract.ZoneAny), zoneChoices*3/4)
}
