package placement_test

import (
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func fleet(n, zones int) []*wire.HostReport {
	var all []*wire.HostReport
	for i := range n {
		all = append(all, &wire.HostReport{
			Name: "entry-" + strconv.Itoa(i), Zone: "zone-" + strconv.Itoa(i%zones),
			Role: placement.RoleEntry, State: placement.StateReady,
		})
	}
	return all
}

func names(hosts []*wire.HostReport) []string {
	var all []string
	for _, host := range hosts {
		all = append(all, host.GetName())
	}
	return all
}

func TestLossMovesOnlyTheLostHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := fleet(rapid.IntRange(4, 29).Draw(t, "hosts"), 1)
		service := rapid.StringMatching(`[a-z]{3,9}`).Draw(t, "service")
		plan := placement.Plan{Spread: 3}
		before := names(placement.Choose(entries, service, "", plan).Hosts())
		lost := rapid.IntRange(0, len(entries)-1).Draw(t, "lost")
		entries[lost].State = "silent"
		after := names(placement.Choose(entries, service, "", plan).Hosts())
		var kept []string
		for _, name := range before {
			if name != entries[lost].GetName() {
				kept = append(kept, name)
			}
		}
		must.Eq(t, kept, after[:len(kept)])
		must.Len(t, 3, after)
	})
}

func TestHostsOfAnAnswerStandInDifferentZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := rapid.StringMatching(`[a-z]{3,9}`).Draw(t, "service")
		zones := map[string]bool{}
		for _, host := range placement.Choose(fleet(29, 3), service, "zone-1", placement.Plan{Spread: 3}).Hosts() {
			zones[host.GetZone()] = true
		}
		must.Eq(t, 3, len(zones))
	})
}

func TestActiveHostsFollowTheRate(t *testing.T) {
	entries := fleet(29, 3)
	plan := placement.Plan{Spread: 4, HostRate: 1000}
	must.Len(t, 1, placement.Choose(entries, "catalogue", "", plan).Active())
	plan.Rate = 2200
	must.Len(t, 3, placement.Choose(entries, "catalogue", "", plan).Active())
	plan.Rate = 71_500
	must.Len(t, 4, placement.Choose(entries, "catalogue", "", plan).Active())
}

func TestRatesAreReplacedWhole(t *testing.T) {
	rates := placement.NewRates()
	must.Zero(t, rates.ArrivalRate("catalogue"))
	rates.Store([]*wire.ServiceRate{{Service: "catalogue", ArrivalsPerS: 7}})
	must.Eq(t, 7, rates.ArrivalRate("catalogue"))
	rates.Store([]*wire.ServiceRate{{Service: "orders", ArrivalsPerS: 3}})
	must.Zero(t, rates.ArrivalRate("catalogue"))
}

func TestHostsThatAreNotReadyAreNotNamed(t *testing.T) {
	entries := fleet(3, 3)
	entries[0].State, entries[1].Role = "draining", "control"
	must.Eq(t, []string{"entry-2"}, names(placement.Choose(entries, "catalogue", "", placement.Plan{Spread: 3}).Hosts()))
}
