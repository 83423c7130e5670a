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
	"strings"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

// TTL is how long callers keep an answer.
const TTL = 2 * time.Second

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

// WithMinHosts sets how many entry hosts serve a service at least.
func WithMinHosts(n int) Option { return func(d *Directory) { d.least = n } }

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
	entries := d.fleet.Polling(time.Now())
	demand := d.demand(entries)
	if few := demand.hosts(services); few <= placement.Zones(entries) {
		return placement.Choose(entries, services[0], zone, placement.Plan{Spread: max(few, d.least)}).Hosts(), true
	}
	return placement.ChooseFromPool(entries, zone, d.pool(host, demand, entries)), true
}

// pool returns which entry hosts callers of a name share with others.
func (d *Directory) pool(host string, demand demand, entries []*wire.HostReport) placement.Pool {
	d.mu.Lock()
	all, bulk := d.set.Services(), d.set.Bulk(strings.ToLower(host))
	d.mu.Unlock()
	light, large := demand.pools(all)
	pool := placement.Pool{Size: light, MaxHosts: maxHosts, Bulk: bulk}
	if bulk {
		// No other requests wait there; each zone rounds up.
		pool.Size = max(large, len(entries)-light-placement.Zones(entries)+1)
	}
	return pool
}

// ActiveHosts returns the largest number of entry hosts that any name is served by.
func (d *Directory) ActiveHosts() int {
	most := d.least
	entries := d.fleet.Polling(time.Now())
	demand := d.demand(entries)
	for _, services := range d.allTogether() {
		most = max(most, min(demand.hosts(services), len(entries)))
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
		d.set, _ = rule.ReadIncremental(d.set, "rules", text)
		d.number, d.groups = version.GetNumber(), map[string][]string{}
	}
	services, known := d.groups[host]
	if !known && d.set.HasHost(host) {
		services = d.set.LinkedServices(host)
		d.groups[host] = services
	}
	return services
}
