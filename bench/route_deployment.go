package main

import (
	"strconv"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/route/virtual"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
)

// deployment is the zones and services of one user.
type deployment struct {
	name      string
	sameZone  time.Duration // one-way latency within a zone
	otherZone time.Duration // one-way latency between zones
	instances []int         // sizes of services
	zoneCost  time.Duration // round trip to another zone
}

var deployments = []deployment{
	{name: "troisRivieres", sameZone: 100 * time.Microsecond, otherZone: 500 * time.Microsecond, instances: []int{10, 6}, zoneCost: 800 * time.Microsecond},
	{name: "attica", sameZone: 100 * time.Microsecond, otherZone: 1500 * time.Microsecond, instances: []int{10, 6}, zoneCost: 2800 * time.Microsecond},
}

func (d deployment) scenario(instances int) virtual.Scenario {
	return virtual.Scenario{Instances: instances, SameZone: d.sameZone, OtherZone: d.otherZone, Duration: routeDuration}
}

func (d deployment) adaptive() route.Policy { return route.NewAdaptive(route.WithZoneCost(d.zoneCost)) }

// deploymentRun is one service at one load.
type deploymentRun struct {
	suffix     string
	bound      float64
	central    *task
	policy     *task
	powerOfTwo *task
}

// measureDeployments measures the deployments at several loads.
func measureDeployments(emit func(figure.Figure)) error {
	var t tasks
	var runs []deploymentRun
	for _, d := range deployments {
		for _, n := range d.instances {
			for _, l := range loads[1:] {
				s := d.scenario(n)
				s.Load = l.load
				adaptive := withPolicy(s, contract.PolicyAdaptive)
				adaptive.Policy = d.adaptive
				runs = append(runs, deploymentRun{
					suffix: percent(l.load) + "." + d.name + strconv.Itoa(n), bound: l.bound,
					central: t.add(s, routeSeeds, virtual.RunCentralQueue), policy: t.add(adaptive, routeSeeds, virtual.Run),
					powerOfTwo: t.add(withPolicy(s, contract.PolicyPowerOfTwo), routeSeeds, virtual.Run),
				})
			}
		}
	}
	t.run()
	for _, r := range runs {
		emitRatios(emit, "p", r.suffix, r.policy.result, r.central.result, r.bound)
		emit(figure.Plain(routeArea, "p99RatioToPowerOfTwo"+r.suffix, r.policy.result.Quantile(0.99)/r.powerOfTwo.result.Quantile(0.99), "ratio"))
	}
	return nil
}

// measureConcentration measures the effect of the number of hosts that serve a
// service, with the adaptive policy and with the least local in-flight count.
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
