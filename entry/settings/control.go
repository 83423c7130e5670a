package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Control names the control hosts.
type Control struct {
	Hosts []string `toml:"hosts" comment:"addresses of the control hosts' peers listeners"`
}

func (h Control) check(c *setting.Checker) {
	if len(h.Hosts) == 0 {
		c.Fail("control.hosts", "is empty", "name the addresses of the control hosts, here or with --control")
	}
	for _, address := range h.Hosts {
		c.Address("control.hosts", address, "10.0.0.1:7100")
	}
}
