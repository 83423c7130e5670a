package main

import (
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/route/virtual"
	"github.com/snipebeam/snipebeam/world/contract"
)

// Sizes of the runs with faults.
const (
	faultAt        = 3 * time.Second
	faultDuration  = 10 * time.Second
	faultSeeds     = 8
	faultWarmup    = faultAt - 50*time.Millisecond // includes the requests in flight at the fault
	faultTarget    = 2
	faultLoad      = 0.7
	slowFactor     = 10
	coldFactor     = 4
	highLoadFactor = 20
	faultDeadline  = 300 * time.Millisecond
)

// faultCase is one fault at 70% load; its figures count from just before the
// fault.
type faultCase struct {
	name  string
	fault virtual.Fault
}

var faultCases = []faultCase{
	{"slowInstance", virtual.Fault{Kind: virtual.Slow, Factor: slowFactor}},
	{"failFast", virtual.Fault{Kind: virtual.FailFast}},
	{"draining", virtual.Fault{Kind: virtual.Drain}},
	{"coldStart", virtual.Fault{Kind: virtual.ColdStart, Factor: coldFactor}},
	{"lowLie", virtual.Fault{Kind: virtual.MisreportLoad}},
	{"highLie", virtual.Fault{Kind: virtual.MisreportLoad, Factor: highLoadFactor}},
	{"zoneCut", virtual.Fault{Kind: virtual.PartitionZone}},
	{"hostLost", virtual.Fault{Kind: virtual.CrashHost}},
}

func (c faultCase) scenario(policy string) virtual.Scenario {
	s := withPolicy(virtual.Scenario{Load: faultLoad, Duration: faultDuration, Warmup: faultWarmup, Deadline: faultDeadline}, policy)
	c.fault.At = faultAt
	switch c.fault.Kind {
	case virtual.CrashHost:
	case virtual.PartitionZone:
		c.fault.Target = 1
	default:
		c.fault.Target = faultTarget
	}
	s.Faults = []virtual.Fault{c.fault}
	return s
}

// measureFaults measures the effect of each fault on tail latency and loss.
func measureFaults(emit func(figure.Figure)) error {
	policies := []string{contract.PolicyAdaptive, contract.PolicyPowerOfTwo, contract.PolicyLeast, contract.PolicyPeakEWMA}
	var t tasks
	baseline := t.add(withPolicy(virtual.Scenario{Load: faultLoad, Duration: faultDuration, Warmup: faultWarmup, Deadline: faultDeadline}, contract.PolicyAdaptive), faultSeeds, virtual.Run)
	runs := map[string]map[string]*task{}
	for _, c := range faultCases {
		runs[c.name] = map[string]*task{}
		for _, policy := range policies {
			runs[c.name][policy] = t.add(c.scenario(policy), faultSeeds, virtual.Run)
		}
	}
	t.run()
	for _, c := range faultCases {
		for _, policy := range policies {
			emitFault(emit, c, policy, runs[c.name][policy].result, baseline.result)
		}
	}
	return nil
}

func emitFault(emit func(figure.Figure), c faultCase, policy string, r, baseline *virtual.Result) {
	prefix := ""
	if policy != contract.PolicyAdaptive {
		prefix = policy + "."
	}
	emit(figure.Plain(routeArea, prefix+c.name+"P99RatioToCalm", r.Quantile(0.99)/baseline.Quantile(0.99), "ratio"))
	loss := float64(r.Failed) / float64(r.Offered)
	lossBound, noticeBound := 0.0, 0.0
	if policy == contract.PolicyAdaptive && c.fault.Kind == virtual.FailFast {
		lossBound = 0.005
	}
	emit(boundedTo(prefix+c.name+"LossShare", loss, "share", lossBound))
	if c.fault.Kind != virtual.Slow {
		return
	}
	if policy == contract.PolicyAdaptive {
		noticeBound = 100
	}
	emit(boundedTo(prefix+"slowInstanceNoticeMs", r.DetectionMs(faultTarget, faultAt), "ms", noticeBound))
}

// measureOverload measures goodput at twice the capacity, and tail latency under
// bursts.
func measureOverload(emit func(figure.Figure)) error {
	var t tasks
	deadlines := []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second}
	runs := map[time.Duration]map[string]*task{}
	for _, deadline := range deadlines {
		runs[deadline] = map[string]*task{}
		for _, policy := range []string{contract.PolicyAdaptive, contract.PolicyPowerOfTwo} {
			s := withPolicy(virtual.Scenario{Load: 2, Duration: faultDuration, Deadline: deadline}, policy)
			runs[deadline][policy] = t.add(s, 2, virtual.Run)
		}
	}
	burst := virtual.Scenario{Load: 0.7, Burst: 0.4, Duration: routeDuration}
	central := t.add(burst, routeSeeds, virtual.RunCentralQueue)
	bursts := t.add(withPolicy(burst, contract.PolicyAdaptive), routeSeeds, virtual.Run)
	powerOfTwo := t.add(withPolicy(burst, contract.PolicyPowerOfTwo), routeSeeds, virtual.Run)
	t.run()
	for _, deadline := range deadlines {
		suffix := ".deadline" + deadline.String()
		emit(figure.AtLeast(routeArea, "goodputAt2xOverload"+suffix, runs[deadline][contract.PolicyAdaptive].result.Goodput(), "share of capacity", 0.9))
		emit(figure.Plain(routeArea, "powerOfTwo.goodputAt2xOverload"+suffix, runs[deadline][contract.PolicyPowerOfTwo].result.Goodput(), "share of capacity"))
	}
	emitRatios(emit, "p", ".bursts", bursts.result, central.result, 0)
	emitRatios(emit, "powerOfTwoP", ".bursts", powerOfTwo.result, central.result, 0)
	return nil
}
