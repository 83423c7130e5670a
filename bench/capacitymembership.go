package main

import (
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/membership"
	"github.com/snipebeam/snipebeam/bench/slope"
)

func init() { register("capacity", measureMembershipSlopes) }

const (
	meshSpan  = 10 * time.Second // virtual time
	meshHosts = 29
)

// meshCost is what membership costs one host. The bytes per second are measured
// in the control area, because they take long to reach a steady state.
type meshCost struct {
	cpuNs     float64 // CPU time in nanoseconds per second
	heapBytes float64 // heap bytes of the state
}

// measureMesh returns the cost of one host in a group of the given size. The CPU
// time includes processing the heartbeats that the host receives and building
// its datagrams, not encoding them.
func measureMesh(hosts, instances int) meshCost {
	var g *membership.Group
	heap := heapGrowth(func() any {
		g = membership.New(hosts, instances, membershipSeed)
		return g
	})
	g.Run(membershipSettle)
	start := time.Now()
	g.Run(meshSpan)
	elapsed := time.Since(start)
	perSecond := float64(hosts) * meshSpan.Seconds()
	return meshCost{cpuNs: float64(elapsed.Nanoseconds()) / perSecond, heapBytes: heap / float64(hosts)}
}

// measureMembershipSlopes emits how the cost of one host grows with the number
// of instances.
func measureMembershipSlopes(emit func(figure.Figure)) error {
	var cpu, heap []slope.Point
	for _, instances := range []int{60, 500, 2000, 3900} {
		cost := measureMesh(meshHosts, instances)
		cpu = append(cpu, slope.Point{X: float64(instances), Y: cost.cpuNs})
		heap = append(heap, slope.Point{X: float64(instances), Y: cost.heapBytes})
	}
	if err := emitSlope(emit, "membershipCoreNsPerSecondPerInstance", "ns/s", cpu); err != nil {
		return err
	}
	return emitSlope(emit, "membershipHeapBytesPerInstance", "bytes", heap)
}

func emitSlope(emit func(figure.Figure), name, unit string, points []slope.Point) error {
	line, err := slope.Fit(points)
	if err != nil {
		return err
	}
	emit(figure.Slope("capacity", name, unit, line, points))
	return nil
}
