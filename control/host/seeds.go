package host

import (
	"net"
	"slices"
	"sync/atomic"

	"github.com/snipebeam/snipebeam/control/peer"
	"github.com/snipebeam/snipebeam/control/settings"
)

// seeds are the peers addresses of the control hosts that the settings name
// now. All control hosts have their peers listener at the same port.
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
	for _, one := range cfg.Quorum.Seeds {
		if host, _, err := net.SplitHostPort(one); err == nil {
			all = append(all, net.JoinHostPort(host, port))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// seedHosts returns the first membership: the seeds, of which the first one in
// order forms the group. Where the system did not start for the first time
// there is none, and a replica outside the group asks to be taken in.
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
