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

// Settings is the content of a settings file, one field per section.
type Settings struct {
	Host      Host      `toml:"host" comment:"what this host is"`
	Listen    Listen    `toml:"listen" comment:"addresses that this host listens on"`
	Data      Data      `toml:"data" comment:"durable state"`
	Quorum    Quorum    `toml:"quorum" comment:"the control hosts that agree"`
	Directory Directory `toml:"directory" comment:"what callers are told"`
	Limits    Limits    `toml:"limits" comment:"bounds of what clients may make this host hold"`
	Keys      Keys      `toml:"keys" comment:"key files, each with one or two keys; set all of them or none"`
	Log       Log       `toml:"log" comment:"what is logged"`
}

// Default returns the default settings.
func Default() *Settings {
	return &Settings{Host: defaultHost(), Listen: defaultListen(), Data: defaultData(), Quorum: defaultQuorum(), Directory: defaultDirectory(), Limits: defaultLimits(), Log: defaultLog()}
}

// Load reads and checks a file. Overrides take precedence over it. All findings
// are reported together.
func Load(path string, overrides ...setting.Override) (*Settings, finding.List) {
	cfg := Default()
	doc, findings := setting.Load(path, cfg, overrides...)
	cfg.check(setting.NewChecker(doc, &findings))
	return cfg, findings
}

func (s *Settings) check(c *setting.Checker) {
	s.Host.check(c)
	c.OneOf("log.level", s.Log.Level, logging.Levels()...)
	s.Data.check(c)
	s.Quorum.check(c)
	s.Directory.check(c)
	s.Limits.check(c)
	s.Keys.check(c)
	s.Listen.check(c, s.Keys)
}
