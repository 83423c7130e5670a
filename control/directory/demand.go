package directory

import (
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Assumptions about services without a reported rate.
const (
	// minSlotRate is the assumed requests per second of each slot of the
	// instances: a fraction of the 4 requests per second that a slot processes
	// if each takes a quarter of a second.
	minSlotRate = 0.5
	// defaultBodyBytes is the assumed body size of a request, which may be an
	// upload.
	defaultBodyBytes = 64 << 10
)

// minExpectedBytes is the least body size that is assumed of requests that are expected but
// were not reported. The few requests before callers arrive may be no measure of theirs, and
// a pool that is sized by them is too small until callers ask again.
const minExpectedBytes = 3 << 10

// demand is the load of the services on entry hosts, and the capacity of one
// host: the lowest that any host reports, limited by WithHostRate. A capacity of 0
// is unknown.
type demand struct {
	rates     map[string]*wire.ServiceRate
	slots     map[string]int
	hostRate  float64 // requests per second
	hostBytes float64 // body bytes per second
}

func (d *Directory) demand(snapshot *fleet.Snapshot) demand {
	all := demand{rates: map[string]*wire.ServiceRate{}, slots: d.slots(), hostRate: d.hostRate}
	for _, rate := range snapshot.Rates() {
		all.rates[rate.GetService()] = rate
	}
	for _, report := range snapshot.Polling() {
		all.hostRate = minCapacity(all.hostRate, report.GetRateCapacity())
		all.hostBytes = minCapacity(all.hostBytes, report.GetByteCapacity())
	}
	return all
}

// hosts returns how many entry hosts the given services need in total.
func (d demand) hosts(services []string) int {
	sum := d.sum(services)
	return d.count(sum.rate, sum.bytes+sum.bulk)
}

// pools returns how many entry hosts the given services need for requests with
// small bodies, and how many for requests with large bodies.
func (d demand) pools(services []string) (light, bulk int) {
	sum := d.sum(services)
	return d.count(sum.rate, sum.bytes), d.count(0, sum.bulk)
}

// count returns how many hosts the given requests and body bytes per second
// need, at least one.
func (d demand) count(rate, bytes float64) int {
	return max(placement.ActiveCount(rate, d.hostRate), placement.ActiveCount(bytes, d.hostBytes))
}

// load is a load in requests per second and in body bytes per second of small
// and of large bodies.
type load struct{ rate, bytes, bulk float64 }

// sum returns the total load of the given services. All requests to a service without a
// reported rate are assumed to have large bodies, and as many small ones: whose bodies are
// large is known only from the first requests.
func (d demand) sum(services []string) load {
	var sum load
	for _, service := range services {
		reported := d.rates[service]
		expected := max(reported.GetArrivalsPerS(), minSlotRate*float64(d.slots[service]))
		sum.rate += expected
		if reported.GetArrivalsPerS() <= 0 {
			sum.bulk += expected * defaultBodyBytes
			sum.bytes += expected * minExpectedBytes
			continue
		}
		scale := expected / reported.GetArrivalsPerS()
		bytes, bulk := reported.GetBytesPerS()*scale, reported.GetBulkBytesPerS()*scale
		unseen := (expected - reported.GetArrivalsPerS()) * minExpectedBytes
		sum.bytes += max(bytes, reported.GetBytesPerS()+unseen-bulk)
		sum.bulk += bulk
	}
	return sum
}

// minCapacity returns the lower of two capacities, where 0 is an unknown one.
func minCapacity(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// slots returns the number of slots of each service, summed over its instances.
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
		if m.GetSlots() > instance.MaxSlots { // entry hosts skip such a record
			continue
		}
		slots[m.GetService()] += int(m.GetSlots())
	}
	d.slotsRevision, d.slotsByService = revision, slots
	return slots
}
