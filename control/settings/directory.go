package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Directory configures how many entry hosts discovery returns for a service.
type Directory struct {
	HostRate   float64 `toml:"hostRate" comment:"requests a second of a service that one entry host takes; more are named beyond that, 0 sets no bound"`
	LeastHosts int     `toml:"leastHosts" comment:"entry hosts that serve a service at least"`
}

func defaultDirectory() Directory { return Directory{HostRate: 8000, LeastHosts: 1} }

func (d Directory) check(c *setting.Checker) {
	c.Positive("directory.leastHosts", float64(d.LeastHosts))
	if d.HostRate < 0 {
		c.Fail("directory.hostRate", "is negative", "0 sets no bound")
	}
}
