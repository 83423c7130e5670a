package main

import (
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/membership"
	"github.com/snipebeam/snipebeam/bench/slope"
)

func init() { register("capacity", measureMembershipSlopes) }

const (
	meshSpan      = 10 * time.Second // of virtual time
	meshInstances = 1000
	meshHosts     = 29
)

// meshCost is what membership costs one host.
type meshCost struct {
	bytes float64 // sent and received a second
	core  float64 // nanoseconds of processor time a second
	heap  float64 // bytes of state
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
	bytes := g.BytesPerSecond(meshSpan)
	spent := time.Since(start)
	perSecond := float64(hosts) * meshSpan.Seconds()
	return meshCost{bytes: bytes, core: float64(spent.Nanoseconds()) / perSecond, heap: heap / float64(hosts)}
}

func measureMembershipSlopes(emit func(figure.Figure)) error {
	byHosts := func(hosts int) meshCost { return measureMesh(hosts, meshInstances) }
	if err := emitMesh(emit, "Host", []int{10, 20, 29, 58}, byHosts); err != nil {
		return err
	}
	byInstances := func(instances int) meshCost { return measureMesh(meshHosts, instances) }
	return emitMesh(emit, "Instance", []int{60, 500, 2000, 3900}, byInstances)
}

// emitMesh prints how the cost of one host grows with hosts or instances.
func emitMesh(emit func(figure.Figure), what string, sizes []int, measure func(int) meshCost) error {
	var bytes, core, heap []slope.Point
	for _, size := range sizes {
		cost := measure(size)
		at := func(y float64) slope.Point { return slope.Point{X: float64(size), Y: y} }
		bytes, core, heap = append(bytes, at(cost.bytes)), append(core, at(cost.core)), append(heap, at(cost.heap))
	}
	for _, one := range []struct {
		name, unit string
		points     []slope.Point
	}{
		{"membershipBytesPerSecondPer" + what, "bytes/s", bytes},
		{"membershipCoreNsPerSecondPer" + what, "ns/s", core},
		{"membershipHeapBytesPer" + what, "bytes", heap},
	} {
		line, err := slope.Fit(one.points)
		if err != nil {
			return err
		}
		emit(figure.Slope("capacity", one.name, one.unit, line, one.points))
	}
	return nil
}
