package settings

import (
	"net"
	"strconv"

	"github.com/snipebeam/snipebeam/world/setting"
)

// Control holds the addresses of the control hosts.
type Control struct {
	Hosts []string `toml:"hosts" comment:"addresses of the control hosts' peers listeners"`
	Port  int      `toml:"port" comment:"port of the control hosts' peers listeners if control.hosts names another, else 0"`
}

// Addresses returns the addresses of the control hosts' peers listeners, with Port
// in place of their own if it is set.
func (h Control) Addresses() []string {
	var all []string
	for _, address := range h.Hosts {
		if host, _, err := net.SplitHostPort(address); err == nil && h.Port > 0 {
			address = net.JoinHostPort(host, strconv.Itoa(h.Port))
		}
		all = append(all, address)
	}
	return all
}

func (h Control) check(c *setting.Checker) {
	if len(h.Hosts) == 0 {
		c.Fail("control.hosts", "is empty", "set the addresses of the control hosts, here or with --control")
	}
	for _, address := range h.Hosts {
		c.Address("control.hosts", address, "10.0.0.1:7100")
	}
}
