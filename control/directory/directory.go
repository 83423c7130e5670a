// Package directory tells callers which entry hosts to use for a host name.
// Few entry hosts serve one service, so that what each of them has in flight
// is nearly the whole truth about the service's instances; names that share a
// service share their entry hosts. More are named as the rate asks for it.
//
// Usage:
//
//	d := directory.New(machine, fleet, directory.WithHostRate(50))
//	hosts, known := d.Resolve("counter.example", "shawinigan")
package directory

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Lifetime is how long callers keep an answer.
const Lifetime = 2 * time.Second

// maxHosts is how many entry hosts one answer names at most.
const maxHosts = 64

// Directory answers from the rules in force and the entry hosts that poll this
// control host.
type Directory struct {
	machine  *state.Machine
	fleet    *fleet.Fleet
	hostRate float64
	least    int

	mu     sync.Mutex
	number uint64
	set    *rule.Set
	groups map[string][]string // services by host, as they were asked for

	slotsAt uint64 // revision of the instances that were counted
	slotsOf map[string]int
}

// Option changes one property.
type Option func(*Directory)

// WithHostRate sets the requests a second of a service that one entry host
// takes, 0 for no bound.
func WithHostRate(rate float64) Option { return func(d *Directory) { d.hostRate = rate } }

// WithLeast sets how many entry hosts serve a service at least.
func WithLeast(n int) Option { return func(d *Directory) { d.least = n } }

// New returns a directory.
func New(machine *state.Machine, hosts *fleet.Fleet, opts ...Option) *Directory {
	d := &Directory{machine: machine, fleet: hosts, least: 1}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Resolve returns the entry hosts that callers in a zone use for a host name,
// those of their zone first, and whether any rule is for it.
func (d *Directory) Resolve(host, zone string) (hosts []*wire.HostReport, known bool) {
	services := d.together(strings.ToLower(host))
	if len(services) == 0 {
		return nil, false
	}
	entries := d.fleet.Reached(time.Now())
	return placement.Choose(entries, services[0], zone, placement.Plan{Spread: min(d.active(services, entries), maxHosts)}).Hosts(), true
}

// active returns how many entry hosts carry the requests for services.
func (d *Directory) active(services []string, entries []*wire.HostReport) int {
	rate := 0.0
	for _, one := range d.fleet.Rates(time.Now()) {
		if slices.Contains(services, one.GetService()) {
			rate += one.GetArrivalsPerS()
		}
	}
	rate = max(rate, leastSlotRate*float64(d.slots(services)))
	return max(placement.ActiveCount(rate, d.capacity(entries)), d.least)
}

// leastSlotRate is the requests a second for which there are entry hosts
// for each slot of the instances, before any rate is known: a share of what a
// slot carries of requests that take a quarter of a second.
const leastSlotRate = 0.5

// slots returns the slots of the instances of services.
func (d *Directory) slots(services []string) int {
	revision := d.machine.InstancesRevision()
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision != d.slotsAt || d.slotsOf == nil {
		all, _ := d.machine.Instances(0)
		d.slotsAt, d.slotsOf = revision, map[string]int{}
		for _, m := range all {
			d.slotsOf[m.GetService()] += int(m.GetSlots())
		}
	}
	total := 0
	for _, service := range services {
		total += d.slotsOf[service]
	}
	return total
}

// Parts returns an entry host's parts of the services that it is named for.
func (d *Directory) Parts(host string) []*wire.ServicePart {
	var parts []*wire.ServicePart
	entries := d.fleet.Reached(time.Now())
	seen := map[string]bool{}
	for _, services := range d.allTogether() {
		if seen[services[0]] {
			continue
		}
		seen[services[0]] = true
		hosts := placement.Choose(entries, services[0], "", placement.Plan{Spread: min(d.active(services, entries), maxHosts)}).Hosts()
		at := slices.IndexFunc(hosts, func(h *wire.HostReport) bool { return h.GetName() == host })
		if at < 0 || len(hosts) < 2 {
			continue
		}
		for _, service := range services {
			parts = append(parts, &wire.ServicePart{Service: service, Part: uint32(at), Parts: uint32(len(hosts))})
		}
	}
	return parts
}

// capacity returns the requests a second that each entry host can take: what
// the weakest one reports, within the setting.
func (d *Directory) capacity(entries []*wire.HostReport) float64 {
	capacity := d.hostRate
	for _, one := range entries {
		if own := one.GetRateCapacity(); own > 0 && (capacity == 0 || own < capacity) {
			capacity = own
		}
	}
	return capacity
}

// Active returns the largest number of entry hosts that any name is served by.
func (d *Directory) Active() int {
	most := d.least
	entries := d.fleet.Reached(time.Now())
	for _, services := range d.allTogether() {
		most = max(most, min(d.active(services, entries), len(entries)))
	}
	return most
}

// allTogether returns the services of the names that were asked for.
func (d *Directory) allTogether() [][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([][]string, 0, len(d.groups))
	for _, services := range d.groups {
		all = append(all, services)
	}
	return all
}

// together returns the services that are served by the same entry hosts as
// requests to a host.
func (d *Directory) together(host string) []string {
	version, text := d.machine.InForce()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.set == nil || version.GetNumber() > d.number {
		d.set, _ = rule.ReadChange(d.set, "rules", text)
		d.number, d.groups = version.GetNumber(), map[string][]string{}
	}
	services, known := d.groups[host]
	if !known && d.set.HasHost(host) {
		services = d.set.Together(host)
		d.groups[host] = services
	}
	return services
}
