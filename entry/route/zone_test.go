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

// chosenElsewhere returns how many of many choices fall on the instance in
// another zone than the asking host.
func chosenElsewhere(policy route.Policy, preference contract.ZonePreference) int {
	view := route.NewView("catalogue", []route.Member{
		route.NewMember(instance.New("near", "catalogue", "", instance.WithZone("shawinigan")), &route.Load{}),
		route.NewMember(instance.New("far", "catalogue", "", instance.WithZone("becancour")), &route.Load{}),
	})
	query := route.NewQuery("catalogue", contract.New(contract.WithZone(preference)), "studio", "shawinigan")
	random := route.NewRandom(rand.NewPCG(1, 2).Uint64)
	far := 0
	for range zoneChoices {
		if policy.Choose(view, &query, 0, random, nil) == 1 {
			far++
		}
	}
	return far
}

func TestZonePreferenceOfTheRuleHolds(t *testing.T) {
	must.Zero(t, chosenElsewhere(route.NewAdaptive(), contract.ZoneRequire))
	must.Zero(t, chosenElsewhere(route.NewRoundRobin(), contract.ZoneRequire))
	must.Zero(t, chosenElsewhere(route.NewAdaptive(), contract.ZonePrefer))
	must.Between(t, zoneChoices/4, chosenElsewhere(route.NewAdaptive(), contract.ZoneAny), zoneChoices*3/4)
}
