// Package settings reads the settings of a control host from its file, the
// environment and flags.
//
// Usage:
//
//	cfg, findings := settings.Load("control.toml")
package settings

import (
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Settings is the whole file, one field a section.
type Settings struct {
	Host      Host      `toml:"host" comment:"what this host is"`
	Listen    Listen    `toml:"listen" comment:"addresses that this host listens on"`
	Data      Data      `toml:"data" comment:"durable state"`
	Quorum    Quorum    `toml:"quorum" comment:"the control hosts that agree"`
	Directory Directory `toml:"directory" comment:"what callers are told"`
	Keys      Keys      `toml:"keys" comment:"key files, each with one or two keys; set all of them or none"`
	Log       Log       `toml:"log" comment:"what is logged"`
}

// Default returns the settings that a file need not name.
func Default() *Settings {
	return &Settings{Listen: defaultListen(), Data: defaultData(), Quorum: defaultQuorum(), Directory: defaultDirectory(), Log: defaultLog()}
}

// Load reads and checks a file, before which the overrides go. All findings
// are reported together.
func Load(path string, overrides ...setting.Override) (*Settings, finding.List) {
	cfg := Default()
	doc, findings := setting.Load(path, cfg, overrides...)
	cfg.check(setting.NewChecker(doc, &findings))
	return cfg, findings
}

func (s *Settings) check(c *setting.Checker) {
	c.Required("host.name", s.Host.Name, "name this host, unique among all, here or with --name")
	c.OneOf("log.level", s.Log.Level, logging.Levels()...)
	s.Data.check(c)
	s.Quorum.check(c)
	s.Directory.check(c)
	s.Keys.check(c)
	s.Listen.check(c, s.Keys)
}
