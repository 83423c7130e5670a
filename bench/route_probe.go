package main

import (
	"fmt"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/route/virtual"
)

// probeDuration covers a full window of the probe budget, so that the share of a
// run is that of a window.
const probeDuration = 61 * time.Second

// measureProbes measures the cost of probes and their effect on tail latency in
// the attica deployment, where a probe takes 6 ms.
func measureProbes(emit func(figure.Figure)) error {
	attica := deployments[1]
	cases := []struct {
		name   string
		load   float64
		active int
		fault  *virtual.Fault
	}{
		{"calm5", 0.05, 1, nil},
		{"calm50", 0.5, 3, nil},
		{"peak", 2, 1, nil},
		{"zoneCut", 0.5, 3, &virtual.Fault{At: faultAt, Kind: virtual.PartitionZone, Target: 1}},
		{"hostLost", 0.5, 3, &virtual.Fault{At: faultAt, Kind: virtual.CrashHost}},
		{"allHosts", 0.05, 29, nil},
	}
	budgets := []float64{0, 0.001, 0.01}
	var t tasks
	runs := map[string]map[float64]*task{}
	for _, c := range cases {
		runs[c.name] = map[float64]*task{}
		for _, budget := range budgets {
			s := attica.scenario(6)
			s.Load, s.Active, s.Spread, s.Policy = c.load, c.active, max(c.active, 3), attica.adaptive
			s.Duration, s.ProbeBudget, s.Deadline = probeDuration, budget, faultDeadline
			if c.fault != nil {
				s.Faults = []virtual.Fault{*c.fault}
			}
			runs[c.name][budget] = t.add(s, 1, virtual.Run)
		}
	}
	t.run()
	for _, c := range cases {
		none := runs[c.name][0].result
		for _, budget := range budgets[1:] {
			r := runs[c.name][budget].result
			suffix := fmt.Sprintf(".%s.budget%g", c.name, budget)
			emit(figure.AtMost(routeArea, "probeCostShare"+suffix, r.ProbeShare(), "share", budget))
			emit(figure.Plain(routeArea, "probeP99RatioToNone"+suffix, r.Quantile(0.99)/none.Quantile(0.99), "ratio"))
		}
	}
	return nil
}
