package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Links bounds the persistent connections (links) to instances.
type Links struct {
	PerInstance     int     `toml:"perInstance" comment:"links that this host opens to one instance; 16 keeps 29 hosts under 500"`
	IdleSeconds     float64 `toml:"idleSeconds" comment:"time that a link is kept without a request"`
	ProgressSeconds float64 `toml:"progressSeconds" comment:"time that a body may stand still on a link"`
	HeaderBytes     int     `toml:"headerBytes" comment:"largest header of an instance's answer, interim answers included, bytes"`
	SilentSeconds   float64 `toml:"silentSeconds" comment:"time without a sign of life after which a link in use is given up"`
}

func defaultLinks() Links {
	return Links{PerInstance: 16, IdleSeconds: 20, ProgressSeconds: 30, HeaderBytes: 32 << 10, SilentSeconds: 2}
}

func (l Links) check(c *setting.Checker) {
	c.Positive("links.perInstance", float64(l.PerInstance))
	c.Positive("links.idleSeconds", l.IdleSeconds)
	c.Positive("links.progressSeconds", l.ProgressSeconds)
	c.Positive("links.headerBytes", float64(l.HeaderBytes))
	c.Positive("links.silentSeconds", l.SilentSeconds)
}
