package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Probe configures the load probes of instances.
type Probe struct {
	StaleMs   int     `toml:"staleMs" comment:"milliseconds after which what an instance told of its load is asked for again, 0 to send no probes"`
	LeastRate float64 `toml:"leastRate" comment:"answers a second of a service from which this host probes its instances"`
	MostMs    int     `toml:"mostMs" comment:"milliseconds of a slot that one probe may take"`
	Hosts     int     `toml:"hosts" comment:"entry hosts that may probe one service at a time; each has an equal part of the service's budget"`
}

func defaultProbe() Probe { return Probe{LeastRate: 1.5, MostMs: 10, Hosts: 29} }

func (p Probe) check(c *setting.Checker) {
	c.Positive("probe.mostMs", float64(p.MostMs))
	c.Positive("probe.hosts", float64(p.Hosts))
	if p.StaleMs < 0 {
		c.Fail("probe.staleMs", "is negative", "0 sends no probes")
	}
}
