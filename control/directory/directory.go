// Package directory resolves host names for callers: it returns the entry hosts
// to use for a host name. Few entry hosts serve one service, so that each of
// them sees nearly all requests in flight at the service's instances. Host
// names that share a service share their entry hosts. The number of entry hosts
// grows with the request rate.
//
// Usage:
//
//	d := directory.New(machine, fleet, directory.WithHostRate(50))
//	hosts, found := d.Resolve("counter.example", "shawinigan")
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

// TTL is how long callers may cache a response.
const TTL = 2 * time.Second

// maxHosts limits the entry hosts in one response.
const maxHosts = 64

// Directory resolves host names from the rules in force and the entry hosts that
// poll this control host.
type Directory struct {
	machine  *state.Machine
	fleet    *fleet.Fleet
	hostRate float64
	minHosts int

	mu      sync.Mutex
	version uint64
	set     *rule.Set
	groups  map[string][]string // services by host name, filled on demand

	slotsRevision  uint64 // revision of the instances in slotsByService
	slotsByService map[string]int
}

// Option configures a Directory.
type Option func(*Directory)

// WithHostRate sets the requests per second of a service that one entry host
// handles. 0 means no limit.
func WithHostRate(rate float64) Option { return func(d *Directory) { d.hostRate = rate } }

// WithMinHosts sets the minimum number of entry hosts of a service.
func WithMinHosts(n int) Option { return func(d *Directory) { d.minHosts = n } }

// New returns a directory.
func New(machine *state.Machine, hosts *fleet.Fleet, opts ...Option) *Directory {
	d := &Directory{machine: machine, fleet: hosts, minHosts: 1}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Resolve returns the entry hosts that callers in a zone use for a host name,
// those of their zone first, and whether any rule applies to the host name.
func (d *Directory) Resolve(host, zone string) (hosts []*wire.HostReport, found bool) {
	services := d.serviceGroup(strings.ToLower(host))
	if len(services) == 0 {
		return nil, false
	}
	entries := d.fleet.Polling(time.Now())
	demand := d.demand(entries)
	if n := demand.hosts(services); n <= placement.Zones(entries) {
		return placement.Choose(entries, services[0], zone, placement.Plan{Spread: max(n, d.minHosts)}).Hosts(), true
	}
	return placement.ChooseFromPool(entries, zone, d.pool(host, demand, entries)), true
}

// pool returns the pool of entry hosts that callers of a host name share with
// callers of other names.
func (d *Directory) pool(host string, demand demand, entries []*wire.HostReport) placement.Pool {
	d.mu.Lock()
	all, bulk := d.set.Services(), d.set.Bulk(strings.ToLower(host))
	d.mu.Unlock()
	small, large := demand.pools(all)
	pool := placement.Pool{Size: small, MaxHosts: maxHosts, Bulk: bulk}
	if bulk {
		// Large bodies get all hosts that small ones do not need, because no
		// other requests wait there. Each zone rounds up its share.
		pool.Size = max(large, len(entries)-small-placement.Zones(entries)+1)
	}
	return pool
}

// ActiveHosts returns the largest number of entry hosts that serve one host
// name.
func (d *Directory) ActiveHosts() int {
	n := d.minHosts
	entries := d.fleet.Polling(time.Now())
	demand := d.demand(entries)
	for _, services := range d.serviceGroups() {
		n = max(n, min(demand.hosts(services), len(entries)))
	}
	return n
}

// serviceGroups returns the service groups of all host names resolved under the
// current rules.
func (d *Directory) serviceGroups() [][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([][]string, 0, len(d.groups))
	for _, services := range d.groups {
		all = append(all, services)
	}
	return all
}

// serviceGroup returns the services that share their entry hosts with a host
// name, or none if no rule applies to it.
func (d *Directory) serviceGroup(host string) []string {
	version, text := d.machine.InForce()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.set == nil || version.GetNumber() > d.version {
		d.set, _ = rule.ReadIncremental(d.set, "rules", text)
		d.version, d.groups = version.GetNumber(), map[string][]string{}
	}
	services, ok := d.groups[host]
	if !ok && d.set.HasHost(host) {
		services = d.set.LinkedServices(host)
		d.groups[host] = services
	}
	return services
}
