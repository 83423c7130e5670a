package main

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// measureChoosing measures the time and allocations of one choice that records
// its candidates.
func measureChoosing(emit func(figure.Figure)) error {
	for _, name := range contract.PolicyNames() {
		prefix := name + "."
		if name == contract.PolicyAdaptive {
			prefix = ""
		}
		few := routeChooseNs(name, 10)
		many := routeChooseNs(name, 1000)
		emit(figure.Plain(routeArea, prefix+"chooseNs", few, "ns"))
		emit(figure.Plain(routeArea, prefix+"chooseNsAt1000", many, "ns"))
		emit(figure.Plain(routeArea, prefix+"chooseGrowth", many/few, "ratio"))
		emit(figure.AtMost(routeArea, prefix+"chooseAllocs", chooseAllocs(name, 10), "allocations", 0))
		emit(figure.AtMost(routeArea, prefix+"chooseAllocsAt1000", chooseAllocs(name, 1000), "allocations", 0))
	}
	return nil
}

// chooser returns a function that makes one choice among n instances.
func chooser(name string, n int) func() {
	var members []route.Member
	for i := range n {
		id := instance.ID("catalogue-" + strconv.Itoa(i))
		members = append(members, route.NewMember(instance.New(id, "catalogue", ""), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{"catalogue": route.NewView("catalogue", members)})
	policy, view := route.ByName(name), views.Load("catalogue")
	q := route.NewQuery("catalogue", contract.New(), "studio", "")
	random, trace, now := route.NewRandom(rand.Uint64), &route.Trace{}, time.Now().UnixNano()
	router := route.NewRouter(views, policy)
	for range n {
		// The policy needs a load report of each instance before the measurement.
		if ticket, _, err := router.Offer(q, func(*route.Ticket, error) {}); err == nil && ticket != nil {
			ticket.Finish(route.Report{Latency: 5 * time.Millisecond, HasReportedLoad: true, ReportedLoad: 1})
		}
	}
	return func() { policy.Choose(view, &q, now, random, trace) }
}

func routeChooseNs(name string, n int) float64 {
	choose := chooser(name, n)
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			choose()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N)
}

func chooseAllocs(name string, n int) float64 {
	return testing.AllocsPerRun(1000, chooser(name, n))
}
