// Package placement answers callers that ask which entry hosts to use for a
// service. Few hosts serve one service, so that what each of them has in
// flight is nearly the whole truth about the service's instances; more are
// used only if the service's rate asks for it. The other hosts of an answer
// are spares for callers that cannot reach the first ones.
//
// Usage:
//
//	answer := placement.Choose(entries, "catalogue", "trois-rivieres", placement.Plan{Spread: 3})
//	for _, host := range answer.Active() { ... }
package placement

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// StateReady is the state of an entry host that takes callers.
const StateReady = "ready"

// RoleEntry is the role of entry hosts.
const RoleEntry = "entry"

// Plan says how many hosts an answer names.
type Plan struct {
	Spread   int     // hosts of an answer, spares included
	Rate     float64 // requests a second of the service
	HostRate float64 // requests a second that one host takes of a service, 0 for no bound
}

// Selection is the hosts that a caller uses for a service.
type Selection struct {
	hosts  []*wire.HostReport
	active int
}

// NewSelection returns an answer of hosts, of which the first ones are active.
func NewSelection(hosts []*wire.HostReport, active int) Selection {
	return Selection{hosts: hosts, active: active}
}

// Hosts returns the active hosts, then the spares.
func (a Selection) Hosts() []*wire.HostReport { return a.hosts }

// Active returns the hosts that callers use as long as they can be reached.
func (a Selection) Active() []*wire.HostReport { return a.hosts[:a.active] }

// Spares returns the hosts used in their order when no active one is reached.
func (a Selection) Spares() []*wire.HostReport { return a.hosts[a.active:] }

// Choose returns the hosts for a service: ranked by rendezvous hashing, so
// that every entry host gives the same answer and the loss of one host moves
// only its own services; each next one in a zone that is not yet named.
func Choose(entries []*wire.HostReport, service, zone string, plan Plan) Selection {
	ranked := rank(entries, service)
	hosts := overZones(ranked, max(plan.Spread, 1))
	active := min(ActiveCount(plan.Rate, plan.HostRate), len(hosts))
	sort.SliceStable(hosts[:active], func(i, j int) bool {
		return hosts[i].GetZone() == zone && hosts[j].GetZone() != zone
	})
	return NewSelection(hosts, active)
}

// Pool is the entry hosts that many names share where a few hosts a service
// cannot carry the requests.
type Pool struct {
	Size     int  // hosts of all zones together
	MaxHosts int  // hosts of one answer
	Bulk     bool // for large bodies, which keep others on a thin link waiting
}

// ChooseFromPool returns a pool's entry hosts for callers in a zone: those of that zone, so
// that bodies do not cross zones, and others where the zone has too few. The
// hosts for large bodies are others than those for small ones as long as there
// are enough.
func ChooseFromPool(entries []*wire.HostReport, zone string, p Pool) []*wire.HostReport {
	ranked := rank(entries, "")
	if p.Bulk {
		slices.Reverse(ranked)
	}
	n := min(max((p.Size+max(Zones(ranked), 1)-1)/max(Zones(ranked), 1), 1), p.MaxHosts, len(ranked))
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
	return ranked[:n]
}

// Zones returns the number of zones that hosts stand in.
func Zones(hosts []*wire.HostReport) int {
	zones := map[string]bool{}
	for _, host := range hosts {
		zones[host.GetZone()] = true
	}
	return len(zones)
}

// ActiveCount returns how many hosts carry a service's rate.
func ActiveCount(rate, hostRate float64) int {
	if hostRate <= 0 {
		return 1
	}
	return max(int(math.Ceil(rate/hostRate)), 1)
}

func rank(entries []*wire.HostReport, service string) []*wire.HostReport {
	var ready []*wire.HostReport
	for _, host := range entries {
		if host.GetRole() == RoleEntry && host.GetState() == StateReady {
			ready = append(ready, host)
		}
	}
	sort.Slice(ready, func(i, j int) bool {
		return weight(service, ready[i].GetName()) > weight(service, ready[j].GetName())
	})
	return ready
}

// overZones takes up to n hosts, each time the first one in a zone that has
// the fewest so far.
func overZones(ranked []*wire.HostReport, n int) []*wire.HostReport {
	taken := map[string]int{}
	var hosts []*wire.HostReport
	left := slices.Clone(ranked)
	for len(hosts) < n && len(left) > 0 {
		best := 0
		for i, host := range left {
			if taken[host.GetZone()] < taken[left[best].GetZone()] {
				best = i
			}
		}
		hosts = append(hosts, left[best])
		taken[left[best].GetZone()]++
		left = slices.Delete(left, best, best+1)
	}
	return hosts
}

func weight(service, host string) uint64 {
	return xxhash.Sum64String(service + "\x00" + host)
}
