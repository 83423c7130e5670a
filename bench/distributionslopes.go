package main

import (
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/bench/fleet"
	"github.com/snipebeam/snipebeam/bench/slope"
)

const slopeSpan = 10 * time.Second

// Sizes at which the slopes are measured.
var (
	slopeHosts     = []int{8, 16}
	slopeChanges   = []float64{0, 86_400, 432_000}
	slopeInstances = []int{250, 1000}
)

// cost is the resource usage at one size.
type cost struct {
	size float64
	rate fleet.Rate
}

// slopes measures how the cost of a host grows with the number of changes, of
// instances and of hosts.
func (d *distribution) slopes() error {
	byChanges, err := d.costsByChanges()
	if err != nil {
		return err
	}
	byInstances, err := d.costsByInstances()
	if err != nil {
		return err
	}
	byHosts, err := d.costsByHosts()
	if err != nil {
		return err
	}
	for name, costs := range map[string][]cost{"Changes": byChanges, "Instances": byInstances, "Hosts": byHosts} {
		if err := d.emitSlopes(name, costs); err != nil {
			return err
		}
	}
	return nil
}

func (d *distribution) costsByChanges() ([]cost, error) {
	var costs []cost
	for _, changes := range slopeChanges {
		rate, err := d.measureUsage(changes, slopeSpan)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost{size: changes, rate: rate})
	}
	return costs, nil
}

func (d *distribution) costsByInstances() ([]cost, error) {
	var costs []cost
	for _, n := range append([]int{currentInstances}, slopeInstances...) {
		if err := d.fleet.Announce(n); err != nil {
			return nil, err
		}
		time.Sleep(settleSpan)
		rate, err := d.measureUsage(0, slopeSpan)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost{size: float64(n), rate: rate})
	}
	return costs, nil
}

// costsByHosts closes the fleet and starts a new one for each number of hosts,
// with the current number of instances.
func (d *distribution) costsByHosts() ([]cost, error) {
	d.fleet.Close()
	var costs []cost
	for _, n := range append(slopeHosts, entryHosts) {
		one, err := costOfHosts(n, d.emit)
		if err != nil {
			return nil, err
		}
		costs = append(costs, one)
	}
	return costs, nil
}

func costOfHosts(n int, emit func(figure.Figure)) (cost, error) {
	f, err := fleet.Start(n, controlHosts)
	if err != nil {
		return cost{}, err
	}
	defer f.Close()
	if err := f.Announce(currentInstances); err != nil {
		return cost{}, err
	}
	time.Sleep(settleSpan)
	d := &distribution{fleet: f, emit: emit}
	rate, err := d.measureUsage(dayChanges, slopeSpan)
	return cost{size: float64(n), rate: rate}, err
}

// emitSlopes emits how the mean cost of a host grows with one more change per
// day, instance or host.
func (d *distribution) emitSlopes(name string, costs []cost) error {
	for _, one := range []struct {
		name, unit string
		value      func(fleet.Rate) float64
	}{
		{"bytesPerSecondBy", "bytes/s", func(r fleet.Rate) float64 { return r.MeanBytesPerSecond }},
		{"corePercentBy", "%", func(r fleet.Rate) float64 { return r.MeanCorePercent }},
		{"residentMBBy", "MB", func(r fleet.Rate) float64 { return r.ResidentMB }},
	} {
		var points []slope.Point
		for _, c := range costs {
			points = append(points, slope.Point{X: c.size, Y: one.value(c.rate)})
		}
		line, err := slope.Fit(points)
		if err != nil {
			return err
		}
		d.emit(figure.Slope("control", one.name+name, one.unit, line, points))
	}
	return nil
}
