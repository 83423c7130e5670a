// Package settings reads the settings file of a control host.
//
// Usage:
//
//	cfg, findings := settings.Load("control.toml")
package settings

import (
	"net"

	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Settings is the whole file, one field a section.
type Settings struct {
	Host   Host   `toml:"host"`
	Listen Listen `toml:"listen"`
	Data   Data   `toml:"data"`
	Quorum Quorum `toml:"quorum"`
	Keys   Keys   `toml:"keys"`
	Log    Log    `toml:"log"`
}

// Default returns the settings that a file need not name.
func Default() *Settings {
	return &Settings{Listen: defaultListen(), Data: defaultData(), Quorum: defaultQuorum(), Log: defaultLog()}
}

// Load reads and checks a file. All findings are reported together.
func Load(path string) (*Settings, finding.List) {
	cfg := Default()
	doc, findings := setting.Load(path, cfg)
	cfg.check(doc, &findings)
	return cfg, findings
}

func (s *Settings) check(doc *setting.Document, findings *finding.List) {
	if s.Host.Name == "" {
		findings.Add(finding.Error, doc.Place("host.name"), "host.name is empty", "name this host, unique among all")
	}
	if _, _, err := net.SplitHostPort(s.Listen.Peers); err != nil {
		findings.Add(finding.Error, doc.Place("listen.peers"), "listen.peers is not an address: "+err.Error(), "write it as 127.0.0.1:7100")
	}
	s.Quorum.check(doc, findings)
	if !s.Listen.AllowUnkeyed && s.Keys.Peers == "" && !setting.Loopback(s.Listen.Peers) {
		findings.Add(finding.Error, doc.Place("listen.peers"), "listen.peers is beyond loopback and there are no keys", "set keys.peers, or listen.allow_unkeyed = true")
	}
}
