// Package placement answers callers that ask which entry hosts to use for a
// service: a few hosts, chosen by rendezvous hashing, the caller's zone first.
//
// Usage:
//
//	hosts := placement.Choose(entries, "catalogue", "trois-rivieres", 3)
package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// StateReady is the state of an entry host that takes callers.
const StateReady = "ready"

// Choose returns up to spread ready hosts for a service.
func Choose(entries []*wire.HostReport, service, zone string, spread int) []*wire.HostReport {
	var ready []*wire.HostReport
	for _, host := range entries {
		if host.GetRole() == "entry" && host.GetState() == StateReady {
			ready = append(ready, host)
		}
	}
	sort.Slice(ready, func(i, j int) bool {
		return weight(service, ready[i].GetName()) > weight(service, ready[j].GetName())
	})
	chosen := ready[:min(spread, len(ready))]
	sort.SliceStable(chosen, func(i, j int) bool {
		return chosen[i].GetZone() == zone && chosen[j].GetZone() != zone
	})
	return chosen
}

func weight(service, host string) uint64 {
	return xxhash.Sum64String(service + "\x00" + host)
}
