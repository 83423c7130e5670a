package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// maxAlternates bounds the alternate hosts returned to an instance.
const maxAlternates = 3

// Alternates returns the platform addresses of other ready hosts that an instance
// may announce itself to. Rendezvous hashing of the instance's id spreads the
// instances over the hosts.
func (n *Node) Alternates(id string) []string {
	var ready []*wire.HostReport
	for _, host := range n.Entries() {
		if host.GetName() != n.cfg.Self.GetName() && host.GetState() == placement.StateReady {
			ready = append(ready, host)
		}
	}
	sort.Slice(ready, func(i, j int) bool { return rendezvousWeight(id, ready[i]) > rendezvousWeight(id, ready[j]) })
	var addresses []string
	for _, host := range ready[:min(maxAlternates, len(ready))] {
		addresses = append(addresses, host.GetPlatformAddress())
	}
	return addresses
}

func rendezvousWeight(id string, host *wire.HostReport) uint64 {
	return xxhash.Sum64String(id + "\x00" + host.GetName())
}
