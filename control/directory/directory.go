// Package directory resolves host names for callers: it returns the entry hosts
// to use for a host name. Few entry hosts serve one service, so that each of
// them sees nearly all requests in flight at the service's instances. Host
// names that share a service share their entry hosts. The number of entry hosts
// grows with the request rate.
//
// Usage:
//
//	d := directory.New(machine, fleet, directory.WithHostRate(50))
//	hosts, found := d.Resolve("counter.example", "shawinigan", "10.0.0.9")
package directory

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/contract"
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
	groups  map[string][]string        // services by host name, filled on demand
	relays  map[string]relayCandidates // by zone

	plan atomic.Pointer[plan]

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
	d := &Directory{machine: machine, fleet: hosts, minHosts: 1, relays: map[string]relayCandidates{}}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Resolve returns the entry hosts that a caller in a zone uses for a host name, and whether
// any rule applies to the host name. Many hosts are divided among the callers.
func (d *Directory) Resolve(host, zone, caller string) (hosts []*wire.HostReport, found bool) {
	hosts, found = d.serving(host, zone)
	return placement.ForCaller(hosts, caller, maxHosts), found
}

// serving returns the entry hosts that callers in a zone use for a host name, those of their
// zone first.
func (d *Directory) serving(host, zone string) (hosts []*wire.HostReport, found bool) {
	host = strings.ToLower(host)
	services := d.serviceGroup(host)
	if len(services) == 0 {
		return nil, false
	}
	return d.answer(d.currentPlan(time.Now()), question{host: host, zone: zone}, services), true
}

// pool returns the pool of entry hosts that callers of a host name share with
// callers of other names.
func (d *Directory) pool(host string, demand demand, entries []*wire.HostReport) placement.Pool {
	d.mu.Lock()
	all, bulk, light := d.set.Services(), d.set.Bulk(host), d.lightServices()
	d.mu.Unlock()
	if !bulk {
		size, _ := demand.pools(all)
		return placement.Pool{Size: size, MaxHosts: maxHosts}
	}
	// Large bodies get all hosts that names without them do not need, because no
	// other requests wait there. Each zone rounds up its share.
	pool := placement.Pool{Size: len(entries), MaxHosts: maxHosts, Bulk: true}
	if len(light) > 0 {
		small, large := demand.pools(all)
		pool.Size = max(large, len(entries)-small-placement.Zones(entries)+1)
	}
	return pool
}

// lightServices returns the services of the host names that callers ask for and that carry
// no large bodies. The caller holds the lock.
func (d *Directory) lightServices() []string {
	var services []string
	for name, linked := range d.groups {
		if !d.set.Bulk(name) {
			services = append(services, linked...)
		}
	}
	return services
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
	d.readRules(version.GetNumber(), text)
	services, ok := d.groups[host]
	if !ok && d.set.HasHost(host) {
		services = d.set.LinkedServices(host)
		d.groups[host] = services
	}
	return services
}

// Terms returns the terms of a service in the rules in force.
func (d *Directory) Terms(service string) *contract.Service {
	version, text := d.machine.InForce()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readRules(version.GetNumber(), text)
	return d.set.Terms(service)
}

// Organisation returns the terms of an organisation in the rules in force, nil if there is
// none.
func (d *Directory) Organisation(name string) *contract.Organisation {
	version, text := d.machine.InForce()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readRules(version.GetNumber(), text)
	return d.set.Organisation(name)
}

// Names reports whether a rule in force names a service.
func (d *Directory) Names(service string) bool {
	version, text := d.machine.InForce()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readRules(version.GetNumber(), text)
	return d.set.HasService(service)
}

// readRules reads the rules in force if they are newer than those known. The caller holds
// the lock.
func (d *Directory) readRules(version uint64, text string) {
	if d.set == nil || version > d.version {
		d.set, _ = rule.ReadIncremental(d.set, "rules", text)
		d.version, d.groups = version, map[string][]string{}
	}
}

// Constants of relays.
const (
	maxRelays = 3
	relaysTTL = 250 * time.Millisecond // time for which the candidates of a zone are kept
)

// relayCandidates are the entry hosts that callers in one zone use.
type relayCandidates struct {
	hosts  []*wire.HostReport
	needed int // hosts for the load of all services, at least one
	at     time.Time
}

// Relays returns the addresses for callers of up to maxRelays entry hosts to which the
// named one, in the given zone, can relay requests: hosts that callers of its zone use, or
// any if these are too few for the load of all services.
func (d *Directory) Relays(name, zone string) []string {
	now := time.Now()
	hosts, needed := d.relayCandidates(zone, now)
	hosts = readyExcept(hosts, name)
	if len(hosts) < needed {
		hosts = readyExcept(d.fleet.Polling(now), name)
	}
	var addresses []string
	for _, at := range rand.Perm(len(hosts))[:min(len(hosts), maxRelays)] {
		addresses = append(addresses, hosts[at].GetCallersAddress())
	}
	return addresses
}

func readyExcept(hosts []*wire.HostReport, name string) []*wire.HostReport {
	var ready []*wire.HostReport
	for _, host := range hosts {
		if host.GetState() == placement.StateReady && host.GetName() != name {
			ready = append(ready, host)
		}
	}
	return ready
}

// relayCandidates returns the entry hosts that callers in a zone use, as of at most
// relaysTTL ago, and how many hosts the load of all services needs.
func (d *Directory) relayCandidates(zone string, now time.Time) (hosts []*wire.HostReport, needed int) {
	d.mu.Lock()
	cached, names := d.relays[zone], slices.Collect(maps.Keys(d.groups))
	d.mu.Unlock()
	if now.Sub(cached.at) < relaysTTL {
		return cached.hosts, cached.needed
	}
	for _, name := range names {
		resolved, _ := d.serving(name, zone)
		hosts = append(hosts, resolved...)
	}
	slices.SortFunc(hosts, func(a, b *wire.HostReport) int { return strings.Compare(a.GetName(), b.GetName()) })
	hosts = slices.CompactFunc(hosts, func(a, b *wire.HostReport) bool { return a.GetName() == b.GetName() })
	demand := d.currentPlan(now).demand
	d.mu.Lock()
	defer d.mu.Unlock()
	needed = 1
	if d.set != nil {
		needed = max(needed, demand.hosts(d.set.Services()))
	}
	d.relays[zone] = relayCandidates{hosts: hosts, needed: needed, at: now}
	return hosts, needed
}
