package settings

import (
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Route says how instances are chosen.
type Route struct {
	Policy         string  `toml:"policy" comment:"policy for services whose rules name none: adaptive, least, powerOfTwo, peakEWMA, roundRobin, random"`
	Headroom       int     `toml:"headroom" comment:"requests beyond its slots that an instance may have from this host"`
	LatencyWeight  float64 `toml:"latency_weight" comment:"how much an instance's own speed weighs, from 0 to 1"`
	ZoneCostMicros int     `toml:"zone_cost_micros" comment:"time added for an instance in another zone, microseconds"`
	QueueLength    int     `toml:"queue_length" comment:"requests of one service that may wait at this host"`
	QueueSeconds   float64 `toml:"queue_seconds" comment:"longest wait for an instance"`
	Bypass         int     `toml:"bypass" comment:"times that the oldest waiting request may be passed over"`
	MaxEjected     float64 `toml:"max_ejected" comment:"share of a service's instances that may be ejected at once"`
	HostRate       float64 `toml:"host_rate" comment:"requests a second that one entry host takes of a service; more hosts serve it beyond that"`
}

func defaultRoute() Route {
	return Route{
		Policy: "adaptive", Headroom: 3, LatencyWeight: 0.5, ZoneCostMicros: 500,
		QueueLength: 1024, QueueSeconds: 10, Bypass: 16, MaxEjected: 0.4, HostRate: 8000,
	}
}

func (r Route) check(doc *setting.Document, findings *finding.List) {
	wrong := func(key, text, help string) {
		findings.Add(finding.Error, doc.Place("route."+key), "route."+key+" "+text, help)
	}
	if r.Headroom < 0 || r.Headroom > 16 {
		wrong("headroom", "is not from 0 to 16", "3 suits instances with 3 slots")
	}
	if r.LatencyWeight < 0 || r.LatencyWeight > 1 {
		wrong("latency_weight", "is not from 0 to 1", "0 ignores the instances' speed")
	}
	if r.ZoneCostMicros < 0 {
		wrong("zone_cost_micros", "is negative", "write the time to another zone and back")
	}
	if r.QueueLength < 1 || r.QueueSeconds <= 0 {
		wrong("queue_length", "or route.queue_seconds leaves no room to wait", "write 1024 and 10")
	}
	if r.Bypass < 1 {
		wrong("bypass", "is below 1", "write 16")
	}
	if r.MaxEjected < 0 || r.MaxEjected >= 1 {
		wrong("max_ejected", "is not from 0 to less than 1", "write 0.4")
	}
	if r.HostRate < 0 {
		wrong("host_rate", "is negative", "0 sets no bound")
	}
}
