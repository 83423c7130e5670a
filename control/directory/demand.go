package directory

import (
	"time"

	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Assumptions of services of which no rate is known.
const (
	// minSlotRate is the requests a second of each slot of the instances: a
	// share of what a slot carries of requests that take a quarter of a second.
	minSlotRate = 0.5
	// defaultBodyBytes is the size of a request's body: it may be an upload.
	defaultBodyBytes = 64 << 10
)

// demand is what the services ask of entry hosts, and what one host can take: as
// much as the weakest one reports. A capacity of 0 is not known.
type demand struct {
	rates     map[string]*wire.ServiceRate
	slots     map[string]int
	hostRate  float64 // requests a second
	hostBytes float64 // of bodies, a second
}

func (d *Directory) demand(entries []*wire.HostReport) demand {
	all := demand{rates: map[string]*wire.ServiceRate{}, slots: d.slots(), hostRate: d.hostRate}
	for _, one := range d.fleet.Rates(time.Now()) {
		all.rates[one.GetService()] = one
	}
	for _, one := range entries {
		all.hostRate = minCapacity(all.hostRate, one.GetRateCapacity())
		all.hostBytes = minCapacity(all.hostBytes, one.GetByteCapacity())
	}
	return all
}

// hosts returns how many entry hosts carry all requests for services.
func (d demand) hosts(services []string) int {
	sum := d.sum(services)
	return d.count(sum.rate, sum.bytes+sum.bulk)
}

// pools returns how many entry hosts carry the requests for services with small
// bodies, and how many those with large ones.
func (d demand) pools(services []string) (light, bulk int) {
	sum := d.sum(services)
	return d.count(sum.rate, sum.bytes), d.count(0, sum.bulk)
}

// count returns how many hosts carry requests and bytes a second, at least one.
func (d demand) count(rate, bytes float64) int {
	return max(placement.ActiveCount(rate, d.hostRate), placement.ActiveCount(bytes, d.hostBytes))
}

// load is what services ask for, each a second.
type load struct{ rate, bytes, bulk float64 }

// sum adds up what services ask for. As long as no rate is known, all bodies may
// be large.
func (d demand) sum(services []string) load {
	var sum load
	for _, service := range services {
		known := d.rates[service]
		expected := max(known.GetArrivalsPerS(), minSlotRate*float64(d.slots[service]))
		sum.rate += expected
		if known.GetArrivalsPerS() <= 0 {
			sum.bulk += expected * defaultBodyBytes
			continue
		}
		scale := expected / known.GetArrivalsPerS()
		sum.bytes += known.GetBytesPerS() * scale
		sum.bulk += known.GetBulkBytesPerS() * scale
	}
	return sum
}

// minCapacity returns the lower of two capacities, of which 0 stands for one that is
// not known.
func minCapacity(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// slots returns the slots of the instances of each service.
func (d *Directory) slots() map[string]int {
	revision := d.machine.InstancesRevision()
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision == d.slotsRevision && d.slotsByService != nil {
		return d.slotsByService
	}
	all, _ := d.machine.Instances(0)
	slots := map[string]int{}
	for _, m := range all {
		slots[m.GetService()] += int(m.GetSlots())
	}
	d.slotsRevision, d.slotsByService = revision, slots
	return slots
}
