package host

import (
	"net"
	"slices"
	"sync/atomic"

	"github.com/snipebeam/snipebeam/control/peer"
	"github.com/snipebeam/snipebeam/control/settings"
)

// seeds holds the peer addresses of the control hosts in the current settings.
// The peers listeners of all control hosts use the same port.
type seeds struct{ addresses atomic.Pointer[[]string] }

func newSeeds(cfg *settings.Settings) *seeds {
	s := &seeds{}
	s.set(cfg)
	return s
}

func (s *seeds) set(cfg *settings.Settings) {
	addresses := seedAddresses(cfg)
	s.addresses.Store(&addresses)
}

// Seeds returns a copy of the addresses.
func (s *seeds) Seeds() []string { return slices.Clone(*s.addresses.Load()) }

func seedAddresses(cfg *settings.Settings) []string {
	_, port, _ := net.SplitHostPort(cfg.Listen.Peers)
	var all []string
	for _, seed := range cfg.Quorum.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			all = append(all, net.JoinHostPort(host, port))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// firstStartSeeds returns the addresses of the initial hosts at the first start of the whole system,
// if this host is one of them.
func firstStartSeeds(cfg *settings.Settings) []string {
	all := seedAddresses(cfg)
	if !cfg.Quorum.Bootstrap || !slices.Contains(all, cfg.Listen.Peers) {
		return nil
	}
	return all
}

// seedHosts returns the initial membership: the seeds, of which the first in
// sort order bootstraps the group. Without the bootstrap setting there is no
// initial membership, and a replica that is not a member requests to join.
func seedHosts(cfg *settings.Settings) []peer.Host {
	if !cfg.Quorum.Bootstrap {
		return nil
	}
	var hosts []peer.Host
	for _, address := range seedAddresses(cfg) {
		host := peer.Host{Address: address}
		if address == cfg.Listen.Peers {
			host.Name = cfg.Host.Name
		}
		hosts = append(hosts, host)
	}
	return hosts
}
