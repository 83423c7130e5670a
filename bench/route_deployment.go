package main

import (
	"strconv"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/route/virtual"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
)

// deployment is one user's zones and services.
type deployment struct {
	name      string
	same      time.Duration // one way between hosts of a zone
	other     time.Duration // one way between zones
	instances []int         // sizes of services
	zoneCost  time.Duration // to another zone and back
}

var deployments = []deployment{
	{name: "troisRivieres", same: 100 * time.Microsecond, other: 500 * time.Microsecond, instances: []int{10, 6}, zoneCost: 800 * time.Microsecond},
	{name: "attica", same: 100 * time.Microsecond, other: 1500 * time.Microsecond, instances: []int{10, 6}, zoneCost: 2800 * time.Microsecond},
}

func (d deployment) scenario(instances int) virtual.Scenario {
	return virtual.Scenario{Instances: instances, SameZone: d.same, OtherZone: d.other, Duration: routeDuration}
}

func (d deployment) adaptive() route.Policy { return route.NewAdaptive(route.WithZoneCost(d.zoneCost)) }

// deploymentRun is one service at one load.
type deploymentRun struct {
	suffix  string
	bound   float64
	central *task
	policy  *task
	two     *task
}

// measureDeployments measures both users' zones and sizes of services.
func measureDeployments(emit func(figure.Figure)) error {
	var t tasks
	var runs []deploymentRun
	for _, d := range deployments {
		for _, n := range d.instances {
			for _, l := range loads[1:] {
				s := d.scenario(n)
				s.Load = l.load
				ours := withPolicy(s, contract.PolicyAdaptive)
				ours.Policy = d.adaptive
				runs = append(runs, deploymentRun{
					suffix: percent(l.load) + "." + d.name + strconv.Itoa(n), bound: l.bound,
					central: t.add(s, routeSeeds, virtual.RunCentralQueue), policy: t.add(ours, routeSeeds, virtual.Run),
					two: t.add(withPolicy(s, contract.PolicyPowerOfTwo), routeSeeds, virtual.Run),
				})
			}
		}
	}
	t.run()
	for _, r := range runs {
		emitRatios(emit, "p", r.suffix, r.policy.result, r.central.result, r.bound)
		emit(figure.Plain(routeArea, "p99RatioToPowerOfTwo"+r.suffix, r.policy.result.Quantile(0.99)/r.two.result.Quantile(0.99), "ratio"))
	}
	return nil
}

// measureConcentration shows what the number of hosts that serve a service
// does, with the adaptive policy and with the least own count.
func measureConcentration(emit func(figure.Figure)) error {
	var t tasks
	type run struct {
		name    string
		central *task
		policy  *task
	}
	var runs []run
	for _, l := range loads[1:] {
		s := virtual.Scenario{Load: l.load, Duration: routeDuration}
		central := t.add(s, 2, virtual.RunCentralQueue)
		for _, active := range []int{1, 2, 3, 4, 8, 29} {
			for name, policy := range map[string]func() route.Policy{"adaptive": adaptive, "least": route.NewLeastLoaded} {
				one := s
				one.Active, one.Policy = active, policy
				runs = append(runs, run{
					name:    name + "On" + strconv.Itoa(active) + "HostsP99RatioToCentralQueue" + percent(l.load),
					central: central, policy: t.add(one, 2, virtual.Run),
				})
			}
		}
	}
	t.run()
	for _, r := range runs {
		emit(figure.Plain(routeArea, r.name, r.policy.result.Quantile(0.99)/r.central.result.Quantile(0.99), "ratio"))
	}
	return nil
}
