package settings

import (
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/setting"
)

// maxHeadroom is the maximum number of requests in flight beyond an instance's slots.
const maxHeadroom = 16

// Route configures the choice of instances.
type Route struct {
	Policy         string  `toml:"policy" comment:"policy for services whose rules name none: adaptive, least, powerOfTwo, peakEWMA, roundRobin, random"`
	Headroom       int     `toml:"headroom" comment:"requests beyond its slots that an instance may have from this host"`
	Fill           float64 `toml:"fill" comment:"share of an instance's slots that are used before requests wait at this host, 0 for all and the headroom"`
	LatencyWeight  float64 `toml:"latencyWeight" comment:"how much an instance's own speed weighs, from 0 to 1"`
	ZoneCostMicros int     `toml:"zoneCostMicros" comment:"time to another zone and back, microseconds; more requests may be on their way there"`
	QueueLength    int     `toml:"queueLength" comment:"requests of one service that may wait at this host"`
	QueueSeconds   float64 `toml:"queueSeconds" comment:"longest wait for an instance"`
	Bypass         int     `toml:"bypass" comment:"times that the oldest waiting request may be passed over"`
	MaxEjected     float64 `toml:"maxEjected" comment:"share of a service's instances that may be ejected at once"`
	HostRate       float64 `toml:"hostRate" comment:"requests a second that one entry host takes of a service; more hosts serve it beyond that"`
}

func defaultRoute() Route {
	return Route{
		Policy: contract.PolicyAdaptive, Headroom: 3, LatencyWeight: 0.5, ZoneCostMicros: 1000,
		QueueLength: 1024, QueueSeconds: 10, Bypass: 16, MaxEjected: 0.4, HostRate: 8000,
	}
}

func (r Route) check(c *setting.Checker) {
	c.OneOf("route.policy", r.Policy, contract.PolicyNames()...)
	c.Positive("route.queueLength", float64(r.QueueLength))
	c.Positive("route.queueSeconds", r.QueueSeconds)
	c.Positive("route.bypass", float64(r.Bypass))
	if r.Headroom < 0 || r.Headroom > maxHeadroom {
		c.Fail("route.headroom", "is not between 0 and 16", "3 suits instances with 3 slots")
	}
	if r.Fill < 0 || r.Fill > 1 {
		c.Fail("route.fill", "is not between 0 and 1", "0.8 suits instances that slow down when nearly full")
	}
	if r.LatencyWeight < 0 || r.LatencyWeight > 1 {
		c.Fail("route.latencyWeight", "is not between 0 and 1", "0 ignores the latency of instances")
	}
	if r.ZoneCostMicros < 0 {
		c.Fail("route.zoneCostMicros", "is negative", "set the round-trip time to another zone")
	}
	if r.MaxEjected < 0 || r.MaxEjected >= 1 {
		c.Fail("route.maxEjected", "is not at least 0 and below 1", "for example 0.4")
	}
	if r.HostRate < 0 {
		c.Fail("route.hostRate", "is negative", "0 means no limit")
	}
}
