package main

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/route/virtual"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
)

const routeArea = "route"

// Sizes of the runs of this area.
const (
	routeSeeds    = 4
	routeDuration = 15 * time.Second
)

func init() {
	register(routeArea, measureLoads)
	register(routeArea, measureDeployments)
	register(routeArea, measureConcentration)
	register(routeArea, measureFaults)
	register(routeArea, measureOverload)
	register(routeArea, measureProbes)
	register(routeArea, measureChoosing)
}

// percent returns the part of a figure's name that gives its load.
func percent(load float64) string { return fmt.Sprintf("At%d", int(load*100+0.5)) }

func adaptive() route.Policy { return route.NewAdaptive() }

// withPolicy returns the scenario with a policy: the adaptive one with one active
// host and spares, the others spread over all hosts.
func withPolicy(s virtual.Scenario, name string) virtual.Scenario {
	if name == contract.PolicyAdaptive {
		s.Policy, s.Active, s.Spread = adaptive, 1, 3
		return s
	}
	s.Policy, s.Active = func() route.Policy { return route.ByName(name) }, 0
	return s
}

// task is one scenario over several seeds.
type task struct {
	scenario virtual.Scenario
	seeds    int
	run      func(virtual.Scenario) *virtual.Result
	result   *virtual.Result
}

// tasks runs scenarios in parallel; each result depends only on its seeds.
type tasks struct{ all []*task }

func (t *tasks) add(s virtual.Scenario, seeds int, run func(virtual.Scenario) *virtual.Result) *task {
	one := &task{scenario: s, seeds: seeds, run: run}
	t.all = append(t.all, one)
	return one
}

func (t *tasks) run() {
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, one := range t.all {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			one.measure()
		})
	}
	group.Wait()
}

func (t *task) measure() {
	for seed := range t.seeds {
		s := t.scenario
		s.Seed = uint64(seed + 1)
		result := t.run(s)
		if t.result == nil {
			t.result = result
			continue
		}
		t.result.Merge(result)
	}
}

// loads are the measured loads, each with the bound of the ratio of p99 to that
// of a central queue.
var loads = []struct {
	load  float64
	bound float64 // 0 for none
}{{0.5, 0}, {0.7, 1.1}, {0.85, 1.2}, {0.95, 1.2}}

// boundedTo returns a figure with a bound, or a plain one for bound 0.
func boundedTo(name string, value float64, unit string, bound float64) figure.Figure {
	if bound == 0 {
		return figure.Plain(routeArea, name, value, unit)
	}
	return figure.AtMost(routeArea, name, value, unit, bound)
}

// measureLoads compares every policy with a central queue on the same arrivals.
func measureLoads(emit func(figure.Figure)) error {
	var t tasks
	central := map[float64]*task{}
	byPolicy := map[string]map[float64]*task{}
	for _, l := range loads {
		s := virtual.Scenario{Load: l.load, Duration: routeDuration}
		central[l.load] = t.add(s, routeSeeds, virtual.RunCentralQueue)
		for _, name := range contract.PolicyNames() {
			if byPolicy[name] == nil {
				byPolicy[name] = map[float64]*task{}
			}
			byPolicy[name][l.load] = t.add(withPolicy(s, name), routeSeeds, virtual.Run)
		}
	}
	t.run()
	for _, l := range loads {
		best := central[l.load].result
		for _, name := range contract.PolicyNames() {
			prefix, bound := name+"P", 0.0
			if name == contract.PolicyAdaptive {
				prefix, bound = "p", l.bound
			}
			emitRatios(emit, prefix, percent(l.load), byPolicy[name][l.load].result, best, bound)
		}
		adaptive, powerOfTwo := byPolicy[contract.PolicyAdaptive][l.load].result, byPolicy[contract.PolicyPowerOfTwo][l.load].result
		bound := 0.0
		if l.load == 0.85 {
			bound = 0.5
		}
		emit(boundedTo("p99RatioToPowerOfTwo"+percent(l.load), adaptive.Quantile(0.99)/powerOfTwo.Quantile(0.99), "ratio", bound))
	}
	return nil
}

// emitRatios emits the ratios of p99 and p999 to those of the central queue.
func emitRatios(emit func(figure.Figure), prefix, suffix string, r, central *virtual.Result, bound float64) {
	note := func(q float64) string {
		return fmt.Sprintf("%.1f ms against %.1f ms", r.Quantile(q), central.Quantile(q))
	}
	emit(boundedTo(prefix+"99RatioToCentralQueue"+suffix, r.Quantile(0.99)/central.Quantile(0.99), "ratio", bound).WithNote(note(0.99)))
	emit(figure.Plain(routeArea, prefix+"999RatioToCentralQueue"+suffix, r.Quantile(0.999)/central.Quantile(0.999), "ratio").WithNote(note(0.999)))
}
