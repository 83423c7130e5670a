package main

import (
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/membership"
	"github.com/snipebeam/snipebeam/bench/slope"
)

func init() { register("capacity", measureMembershipSlopes) }

const (
	meshSpan  = 10 * time.Second // of virtual time
	meshHosts = 29
)

// meshCost is what membership costs one host. Its bytes a second are measured
// in the control area, since they settle slowly.
type meshCost struct {
	cpuNs     float64 // nanoseconds of processor time a second
	heapBytes float64 // bytes of state
}

// measureMesh returns what a host spends in a group of a size. The processor
// time holds the heartbeats that the host hears and the making of datagrams,
// not their encoding.
func measureMesh(hosts, instances int) meshCost {
	var g *membership.Group
	heap := heapGrowth(func() any {
		g = membership.New(hosts, instances, membershipSeed)
		return g
	})
	g.Run(membershipSettle)
	start := time.Now()
	g.Run(meshSpan)
	spent := time.Since(start)
	perSecond := float64(hosts) * meshSpan.Seconds()
	return meshCost{cpuNs: float64(spent.Nanoseconds()) / perSecond, heapBytes: heap / float64(hosts)}
}

// measureMembershipSlopes prints how the cost of one host grows with instances.
func measureMembershipSlopes(emit func(figure.Figure)) error {
	var core, heap []slope.Point
	for _, instances := range []int{60, 500, 2000, 3900} {
		cost := measureMesh(meshHosts, instances)
		core = append(core, slope.Point{X: float64(instances), Y: cost.cpuNs})
		heap = append(heap, slope.Point{X: float64(instances), Y: cost.heapBytes})
	}
	if err := emitSlope(emit, "membershipCoreNsPerSecondPerInstance", "ns/s", core); err != nil {
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
