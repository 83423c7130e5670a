package settings

import "github.com/snipebeam/snipebeam/world/setting"

const defaultStopLimitSeconds = 10

func defaultHost() Host { return Host{StopLimitSeconds: defaultStopLimitSeconds} }

// Host identifies this host.
type Host struct {
	Name             string   `toml:"name" comment:"unique name of this host"`
	Zone             string   `toml:"zone" comment:"availability zone"`
	Zones            []string `toml:"zones" comment:"names of all zones, to tell a misspelt one in an order to evacuate; those of known hosts and instances always count"`
	StopLimitSeconds float64  `toml:"stopLimitSeconds" comment:"most time that a planned stop takes; a request that is held at half of it gets an error"`
}

func (h Host) check(c *setting.Checker) {
	c.Required("host.name", h.Name, "name this host, unique among all, here or with --name")
	c.Positive("host.stopLimitSeconds", h.StopLimitSeconds)
}
