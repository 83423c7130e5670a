// Package placement selects the entry hosts that callers use for a service. Few
// hosts serve one service, so that the requests in flight at each of them are
// nearly the whole load on the service's instances; more are active only if the
// service's request rate requires it. The other hosts of a selection are spares
// for callers that cannot reach the active ones.
//
// Usage:
//
//	selection := placement.Choose(entries, "catalogue", "trois-rivieres", placement.Plan{Spread: 3})
//	for _, host := range selection.Active() { ... }
package placement

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// StateReady is the state of an entry host that accepts requests from callers.
const StateReady = "ready"

// StateIsolated is the state of an entry host that accepts requests from callers and
// reaches no instance. Others are preferred to it.
const StateIsolated = "isolated"

// RoleEntry is the role of entry hosts.
const RoleEntry = "entry"

// Plan sizes a selection.
type Plan struct {
	Spread   int     // hosts of a selection, including spares
	Rate     float64 // requests a second for the service
	HostRate float64 // requests a second for the service that one host can handle, 0 if unlimited
}

// Selection is the entry hosts that a caller uses for a service.
type Selection struct {
	hosts  []*wire.HostReport
	active int
}

// NewSelection returns a selection of hosts, of which the first ones are active.
func NewSelection(hosts []*wire.HostReport, active int) Selection {
	return Selection{hosts: hosts, active: active}
}

// Hosts returns the active hosts, then the spares.
func (s Selection) Hosts() []*wire.HostReport { return s.hosts }

// Active returns the hosts that callers use while any of them is reachable.
func (s Selection) Active() []*wire.HostReport { return s.hosts[:s.active] }

// Spares returns the hosts used, in order, if no active host is reachable.
func (s Selection) Spares() []*wire.HostReport { return s.hosts[s.active:] }

// Choose returns the hosts for a service. They are ranked by rendezvous hashing, so
// that every entry host makes the same selection and the failure of one host moves
// only the services it serves. They are spread over the zones, and the active ones
// in the caller's zone come first.
func Choose(entries []*wire.HostReport, service, zone string, plan Plan) Selection {
	ranked := rankReady(entries, service)
	hosts := spreadOverZones(ranked, max(plan.Spread, 1))
	active := min(ActiveCount(plan.Rate, plan.HostRate), len(hosts))
	sort.SliceStable(hosts[:active], func(i, j int) bool {
		return hosts[i].GetZone() == zone && hosts[j].GetZone() != zone
	})
	return NewSelection(hosts, active)
}

// Pool sizes a set of entry hosts that many host names share, where a few hosts
// for each service cannot handle the requests.
type Pool struct {
	Size     int  // hosts in all zones together
	MaxHosts int  // upper limit of hosts that one caller is told, see ForCaller
	Bulk     bool // for large bodies, which would delay small requests on a slow network link
}

// ChooseFromPool returns a pool's entry hosts for callers in a zone: those of that
// zone, so that bodies do not cross zones, and hosts of other zones if it has too
// few. Large bodies are ranked in reverse order, so that they use different hosts
// than small ones as long as there are enough. If MaxHosts
// hosts are in the zone, no others are returned.
func ChooseFromPool(entries []*wire.HostReport, zone string, p Pool) []*wire.HostReport {
	ranked := rankReady(entries, "")
	if p.Bulk {
		slices.Reverse(ranked)
	}
	n := min(max((p.Size+max(Zones(ranked), 1)-1)/max(Zones(ranked), 1), 1), len(ranked))
	slices.SortStableFunc(ranked, func(a, b *wire.HostReport) int {
		switch {
		case (a.GetZone() == zone) == (b.GetZone() == zone):
			return 0
		case a.GetZone() == zone:
			return -1
		default:
			return 1
		}
	})
	if n <= p.MaxHosts {
		return ranked[:n]
	}
	inZone := 0
	for inZone < n && ranked[inZone].GetZone() == zone {
		inZone++
	}
	return ranked[:max(inZone, p.MaxHosts)]
}

// ForCaller returns at most n of the hosts for one caller, the same ones each time. Callers
// together use all hosts evenly.
func ForCaller(hosts []*wire.HostReport, caller string, n int) []*wire.HostReport {
	if len(hosts) <= n {
		return hosts
	}
	return rankFor(caller, hosts)[:n]
}

// rankFor ranks hosts by rendezvous hashing.
func rankFor(key string, hosts []*wire.HostReport) []*wire.HostReport {
	type rankedHost struct {
		host   *wire.HostReport
		weight uint64
	}
	ranked := make([]rankedHost, len(hosts))
	for n, host := range hosts {
		ranked[n] = rankedHost{host: host, weight: weight(key, host.GetName())}
	}
	slices.SortFunc(ranked, func(a, b rankedHost) int { return cmp.Compare(b.weight, a.weight) })
	all := make([]*wire.HostReport, len(ranked))
	for n := range ranked {
		all[n] = ranked[n].host
	}
	return all
}

// Zones returns the number of distinct zones of the hosts.
func Zones(hosts []*wire.HostReport) int {
	zones := map[string]bool{}
	for _, host := range hosts {
		zones[host.GetZone()] = true
	}
	return len(zones)
}

// ActiveCount returns the number of hosts needed for a request rate, at least 1.
func ActiveCount(rate, hostRate float64) int {
	if hostRate <= 0 {
		return 1
	}
	return max(int(math.Ceil(rate/hostRate)), 1)
}

// rankReady returns the entry hosts that are ready, the highest-ranked one first, or the
// isolated ones if no other is.
func rankReady(entries []*wire.HostReport, service string) []*wire.HostReport {
	ready := inState(entries, StateReady)
	if len(ready) == 0 {
		ready = inState(entries, StateIsolated)
	}
	return rankFor(service, ready)
}

func inState(entries []*wire.HostReport, state string) []*wire.HostReport {
	var all []*wire.HostReport
	for _, host := range entries {
		if host.GetRole() == RoleEntry && host.GetState() == state {
			all = append(all, host)
		}
	}
	return all
}

// spreadOverZones selects up to n hosts: each time the highest-ranked one of the
// zones with the fewest selected hosts.
func spreadOverZones(ranked []*wire.HostReport, n int) []*wire.HostReport {
	selected := map[string]int{}
	var hosts []*wire.HostReport
	left := slices.Clone(ranked)
	for len(hosts) < n && len(left) > 0 {
		best := 0
		for i, host := range left {
			if selected[host.GetZone()] < selected[left[best].GetZone()] {
				best = i
			}
		}
		hosts = append(hosts, left[best])
		selected[left[best].GetZone()]++
		left = slices.Delete(left, best, best+1)
	}
	return hosts
}

func weight(service, host string) uint64 {
	return xxhash.Sum64String(service + "\x00" + host)
}
