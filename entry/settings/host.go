package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Host says what this host is.
type Host struct {
	Name             string  `toml:"name" comment:"unique name of this host"`
	Zone             string  `toml:"zone" comment:"availability zone"`
	StopLimitSeconds float64 `toml:"stopLimitSeconds" comment:"most time that a planned stop waits for requests in flight, 0 for no limit"`
}

func (h Host) check(c *setting.Checker) {
	c.Given("host.name", h.Name, "name this host, unique among all, here or with --name")
	if h.StopLimitSeconds < 0 {
		c.Fail("host.stopLimitSeconds", "is below 0", "0 means no limit")
	}
}
