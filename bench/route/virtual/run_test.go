package virtual_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/route/virtual"
	"github.com/snipebeam/snipebeam/entry/route"
)

func adaptive() route.Policy { return route.NewAdaptive() }

func TestRunsWithOneSeedAgree(t *testing.T) {
	s := virtual.Scenario{Seed: 3, Load: 0.8, Active: 2, Duration: 3 * time.Second, Policy: adaptive}
	one, two := virtual.Run(s), virtual.Run(s)
	must.Eq(t, one.Quantile(0.999), two.Quantile(0.999))
	must.Eq(t, one.Offered, two.Offered)
}

// TestEveryRequestEndsOnce guards against requests that a fault drops from the
// counts or counts twice: the outcomes add up to the offered requests, which are
// as many as the central queue counts for the same arrivals.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, kind := range []virtual.FaultKind{virtual.Slow, virtual.FailFast, virtual.Drain, virtual.MisreportLoad, virtual.CrashHost, virtual.ColdStart, virtual.PartitionZone} {
		s := virtual.Scenario{
			Load: 0.7, Active: 1, Spread: 3, Duration: 3 * time.Second, Policy: adaptive, Deadline: 300 * time.Millisecond,
			Faults: []virtual.Fault{{At: 2 * time.Second, Kind: kind, Target: 1, Factor: 5}},
		}
		r := virtual.Run(s)
		must.Eq(t, virtual.RunCentralQueue(s).Offered, r.Offered)
		must.Eq(t, r.Offered, r.InTime+r.Late+r.Failed+r.Shed)
	}
}

// TestNoWorkForADrainingInstance checks that no request is dispatched to an
// instance once every entry host has received its drain announcement.
func TestNoWorkForADrainingInstance(t *testing.T) {
	const target, announced = 2, 3 * time.Second // drains at 2 s, announced everywhere 1 s later
	r := virtual.Run(virtual.Scenario{
		Load: 0.9, Active: 3, Duration: 5 * time.Second, Policy: adaptive,
		Faults: []virtual.Fault{{At: 2 * time.Second, Kind: virtual.Drain, Target: target}},
	})
	before, after := 0, 0
	for at, n := range r.Sent[target] {
		if at < int64(announced/(10*time.Millisecond)) {
			before += n
		} else {
			after += n
		}
	}
	must.Positive(t, before)
	must.Eq(t, 0, after)
}

func TestProbesRespectTheBudgetInARun(t *testing.T) {
	s := virtual.Scenario{Load: 0.05, Instances: 6, Duration: 61 * time.Second, Policy: route.NewLeastLoaded, ProbeBudget: 0.01}
	r := virtual.Run(s)
	must.Positive(t, r.ProbeShare())
	must.LessEq(t, 0.01, r.ProbeShare())
}

// TestMergeAddsEveryCount guards against a count that is left out when the runs of
// a scenario are merged.
func TestMergeAddsEveryCount(t *testing.T) {
	run := func(factor int) *virtual.Result {
		return &virtual.Result{
			Failed: factor, Shed: 2 * factor, Late: 3 * factor, InTime: 4 * factor, Offered: 10 * factor,
			ProbeNs: 5 * float64(factor), QueueNs: 6 * float64(factor),
			Sent: []map[int64]int{{1: factor, int64(factor): 1}},
		}
	}
	merged := run(10)
	merged.Merge(run(100))
	sum := reflect.ValueOf(*merged)
	first, second := reflect.ValueOf(*run(10)), reflect.ValueOf(*run(100))
	for n := range sum.NumField() {
		name := sum.Type().Field(n).Name
		switch {
		case sum.Field(n).CanInt() && sum.Type().Field(n).IsExported():
			must.Positive(t, first.Field(n).Int(), must.Sprint(name))
			must.Eq(t, first.Field(n).Int()+second.Field(n).Int(), sum.Field(n).Int(), must.Sprint(name))
		case sum.Field(n).CanFloat():
			must.Positive(t, first.Field(n).Float(), must.Sprint(name))
			must.Eq(t, first.Field(n).Float()+second.Field(n).Float(), sum.Field(n).Float(), must.Sprint(name))
		}
	}
	must.Eq(t, []map[int64]int{{1: 110, 10: 1, 100: 1}}, merged.Sent)
}

func TestMergedRunsHaveTheRatesOfASingleOne(t *testing.T) {
	s := virtual.Scenario{Seed: 3, Load: 0.95, Active: 2, Duration: 3 * time.Second, Policy: adaptive}
	single, merged := virtual.Run(s), virtual.Run(s)
	merged.Merge(virtual.Run(s))
	must.Positive(t, single.QueueNs)
	must.Eq(t, 2*single.QueueNs, merged.QueueNs)
	must.Eq(t, single.Goodput(), merged.Goodput())
	must.Eq(t, single.Quantile(0.99), merged.Quantile(0.99))
}
