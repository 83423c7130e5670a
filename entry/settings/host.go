package settings

import "github.com/snipebeam/snipebeam/world/setting"

// defaultLeaveSeconds is the lifetime of this system's own address answers,
// and the bound of the membership protocol.
const defaultLeaveSeconds = 7

func defaultHost() Host { return Host{LeaveSeconds: defaultLeaveSeconds} }

// Host says what this host is.
type Host struct {
	Name             string  `toml:"name" comment:"unique name of this host"`
	Zone             string  `toml:"zone" comment:"availability zone"`
	LeaveSeconds     float64 `toml:"leaveSeconds" comment:"time that a stopping host goes on taking requests, until no caller holds its address: the lifetime of address answers and 2 s for the news"`
	StopLimitSeconds float64 `toml:"stopLimitSeconds" comment:"most time that a planned stop waits for requests in flight, 0 for no limit"`
}

func (h Host) check(c *setting.Checker) {
	c.Given("host.name", h.Name, "name this host, unique among all, here or with --name")
	c.Positive("host.leaveSeconds", h.LeaveSeconds)
	if h.StopLimitSeconds < 0 {
		c.Fail("host.stopLimitSeconds", "is below 0", "0 means no limit")
	}
}
