package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/wire"
)

func TestSeedsAreAFewOthersThatReportedRecently(t *testing.T) {
	f := fleet.New()
	start := time.Unix(1000, 0)
	must.SliceEmpty(t, f.Seeds("e0", start))
	f.Report(&wire.HostReport{Name: "old", Role: "entry", PeersAddress: "old"}, start.Add(-time.Minute))
	for n := range 29 {
		name := fmt.Sprintf("e%d", n)
		f.Report(&wire.HostReport{Name: name, Role: "entry", PeersAddress: name}, start)
	}
	seen := map[string]bool{}
	for range 500 {
		seeds := f.Seeds("e0", start)
		must.Len(t, 3, seeds)
		for _, seed := range seeds {
			seen[seed.GetName()] = true
		}
	}
	must.False(t, seen["e0"])
	must.False(t, seen["old"])
	must.MapLen(t, 28, seen)
}

func TestSilentHostsAreMarkedAndRemoved(t *testing.T) {
	f := fleet.New()
	start := time.Unix(1000, 0)
	f.Report(&wire.HostReport{Name: "e1", Version: 7, State: "ready"}, start)
	must.Eq(t, "ready", f.Hosts(start.Add(fleet.SilentAfter))[0].GetState())
	silent := f.Hosts(start.Add(fleet.SilentAfter + 1))[0]
	must.Eq(t, fleet.StateSilent, silent.GetState())
	must.Eq(t, 7, silent.GetVersion())
	must.SliceEmpty(t, f.Hosts(start.Add(fleet.ReportTTL+1)))
}

func TestAHostThatLeftIsRemovedAndItsLastReportIsReturnedAfterACrash(t *testing.T) {
	f := fleet.New()
	start := time.Unix(1000, 0)
	must.Nil(t, f.Report(&wire.HostReport{Name: "e1", State: "ready", Version: 7}, start))
	again := f.Report(&wire.HostReport{Name: "e1", State: "starting"}, start.Add(time.Minute))
	must.Eq(t, 7, again.GetVersion())
	f.Report(&wire.HostReport{Name: "e1", State: fleet.StateLeft}, start.Add(time.Minute))
	must.SliceEmpty(t, f.Hosts(start.Add(time.Minute)))
}

func TestRatesAddUpOverHostsThatReportedRecently(t *testing.T) {
	f := fleet.New()
	start := time.Unix(1000, 0)
	line := func(service, instance string, rate float64) *wire.ServiceBacklog {
		return &wire.ServiceBacklog{Service: service, Instance: instance, ArrivalsPerS: rate}
	}
	f.Report(&wire.HostReport{Name: "old", Backlog: []*wire.ServiceBacklog{line("catalogue", "", 5000)}}, start.Add(-time.Minute))
	f.Report(&wire.HostReport{Name: "e1", Backlog: []*wire.ServiceBacklog{line("catalogue", "", 1500), line("catalogue", "catalogue-1", 9000)}}, start)
	f.Report(&wire.HostReport{Name: "e2", Backlog: []*wire.ServiceBacklog{line("catalogue", "", 700)}}, start)
	rates := f.Rates(start)
	must.Len(t, 1, rates)
	must.Eq(t, "catalogue", rates[0].GetService())
	must.Eq(t, 2200, rates[0].GetArrivalsPerS())
}
