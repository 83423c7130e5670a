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
	Cores            float64 `toml:"cores" comment:"cores that this process may use, 0 if not known; callers are spread over more hosts by it"`
	LinkMbps         float64 `toml:"linkMbps" comment:"bandwidth of this host's link, megabits a second, 0 if not known; callers are spread over more hosts by it"`
	LeaveSeconds     float64 `toml:"leaveSeconds" comment:"time that a stopping host goes on taking requests, until no caller holds its address: the lifetime of address answers and 2 s for the news"`
	StopLimitSeconds float64 `toml:"stopLimitSeconds" comment:"most time that a planned stop waits for requests in flight, 0 for no limit"`
}

func (h Host) check(c *setting.Checker) {
	c.Required("host.name", h.Name, "name this host, unique among all, here or with --name")
	c.Positive("host.leaveSeconds", h.LeaveSeconds)
	if h.Cores < 0 || h.LinkMbps < 0 {
		c.Fail("host.cores", "or host.linkMbps is negative", "0 means not known")
	}
	if h.StopLimitSeconds < 0 {
		c.Fail("host.stopLimitSeconds", "is below 0", "0 means no limit")
	}
}

// What a request costs an entry host, as measured on days of high load, and
// the share of the host that requests may take so that bursts find room.
const (
	requestSeconds = 0.0005 // of a core, with its part of the probes
	coreShare      = 0.6
	linkShare      = 0.1 // a large body keeps all others on the link waiting
	bytesOfMegabit = 125_000
)

// RateCapacity returns the requests a second that this host can take, 0 if its
// cores are not known.
func (h Host) RateCapacity() float64 {
	return h.Cores * coreShare / requestSeconds
}

// ByteCapacity returns the bytes a second of bodies that this host can pass on,
// 0 if its link is not known.
func (h Host) ByteCapacity() float64 { return h.LinkMbps * bytesOfMegabit * linkShare }
