// Package settings reads the settings of an entry host from its file, the
// environment and flags.
//
// Usage:
//
//	cfg, findings := settings.Load("entry.toml")
package settings

import (
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Settings is the contents of the file, with one field per section.
type Settings struct {
	Host    Host    `toml:"host" comment:"what this host is"`
	Listen  Listen  `toml:"listen" comment:"addresses that this host listens on"`
	Control Control `toml:"control" comment:"the control hosts"`
	Peers   Peers   `toml:"peers" comment:"the other entry hosts"`
	Route   Route   `toml:"route" comment:"how instances are chosen"`
	Probe   Probe   `toml:"probe" comment:"how instances are asked for their load"`
	Limits  Limits  `toml:"limits" comment:"bounds of what callers may send, and of the answers"`
	Links   Links   `toml:"links" comment:"links to instances"`
	Poison  Poison  `toml:"poison" comment:"requests that cost instances"`
	Keys    Keys    `toml:"keys" comment:"key files, each with one or two keys; set all of them or none"`
	Log     Log     `toml:"log" comment:"what is logged"`
}

// Default returns the settings with all defaults.
func Default() *Settings {
	return &Settings{
		Host: defaultHost(), Listen: defaultListen(), Peers: defaultPeers(), Route: defaultRoute(), Probe: defaultProbe(), Limits: defaultLimits(),
		Links: defaultLinks(), Poison: defaultPoison(), Log: defaultLog(),
	}
}

// Load reads and checks a file. Overrides take precedence over the file. It returns
// all findings together.
func Load(path string, overrides ...setting.Override) (*Settings, finding.List) {
	cfg := Default()
	doc, findings := setting.Load(path, cfg, overrides...)
	cfg.check(setting.NewChecker(doc, &findings))
	return cfg, findings
}

func (s *Settings) check(c *setting.Checker) {
	s.Host.check(c)
	s.Control.check(c)
	s.Peers.check(c)
	s.Route.check(c)
	s.Probe.check(c)
	s.Limits.check(c)
	s.Links.check(c)
	s.Poison.check(c)
	s.Keys.check(c)
	s.Log.check(c)
	s.Listen.check(c, s.Keys)
}
