package settings

import "github.com/snipebeam/snipebeam/world/setting"

// defaultLeaveSeconds is the TTL of this system's address responses (5 s) plus the
// time within which the membership protocol informs the other hosts (2 s).
const defaultLeaveSeconds = 7

func defaultHost() Host { return Host{LeaveSeconds: defaultLeaveSeconds} }

// Host describes this host.
type Host struct {
	Name             string  `toml:"name" comment:"unique name of this host"`
	Zone             string  `toml:"zone" comment:"availability zone"`
	Cores            float64 `toml:"cores" comment:"cores that this process may use, 0 if not known; callers are spread over more hosts by it"`
	LinkMbps         float64 `toml:"linkMbps" comment:"bandwidth of this host's link, megabits a second, 0 if not known; callers are spread over more hosts by it, and bodies to instances are sent at three quarters of it"`
	LeaveSeconds     float64 `toml:"leaveSeconds" comment:"time that a stopping host goes on taking requests, until no caller holds its address: the lifetime of address answers and 2 s for the news"`
	StopLimitSeconds float64 `toml:"stopLimitSeconds" comment:"time after which a stopping process may be killed, 0 for no limit; requests without an answer get their outcome in its last eighth"`
}

func (h Host) check(c *setting.Checker) {
	c.Required("host.name", h.Name, "name this host, unique among all, here or with --name")
	c.Positive("host.leaveSeconds", h.LeaveSeconds)
	if h.Cores < 0 || h.LinkMbps < 0 {
		c.Fail("host.cores", "or host.linkMbps is negative", "0 means unknown")
	}
	if h.StopLimitSeconds < 0 {
		c.Fail("host.stopLimitSeconds", "is negative", "0 means no limit")
	}
}

// Cost of a request to an entry host at high load, and the fractions of the host
// that requests may use, which leave headroom for bursts.
const (
	coreSecondsPerRequest = 0.0005 // includes its share of the probes
	coreShare             = 0.6
	bodyPaceShare         = 0.75
	linkShare             = 0.1 // low because a large body delays all others on the network link
	bytesPerMegabit       = 125_000
)

// RateCapacity returns the requests per second that this host can take, 0 if the
// number of cores is unknown.
func (h Host) RateCapacity() float64 {
	return h.Cores * coreShare / coreSecondsPerRequest
}

// ByteCapacity returns the body bytes per second that this host can forward, 0 if
// the bandwidth is unknown.
func (h Host) ByteCapacity() float64 { return h.LinkMbps * bytesPerMegabit * linkShare }

// BodyPace returns the bytes per second at which request bodies are sent to instances, 0
// for no limit. It leaves room for requests that come meanwhile.
func (h Host) BodyPace() float64 { return h.LinkMbps * bytesPerMegabit * bodyPaceShare }
