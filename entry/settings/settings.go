// Package settings reads the settings file of an entry host.
//
// Usage:
//
//	cfg, findings := settings.Load("entry.toml")
package settings

import (
	"net"

	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Settings is the whole file, one field a section.
type Settings struct {
	Host    Host    `toml:"host"`
	Listen  Listen  `toml:"listen"`
	Control Control `toml:"control"`
	Route   Route   `toml:"route"`
	Limits  Limits  `toml:"limits"`
	Keys    Keys    `toml:"keys"`
	Log     Log     `toml:"log"`
}

// Default returns the settings that a file need not name.
func Default() *Settings {
	return &Settings{Listen: defaultListen(), Route: defaultRoute(), Limits: defaultLimits(), Log: defaultLog()}
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
	if len(s.Control.Hosts) == 0 {
		findings.Add(finding.Error, doc.Place("control.hosts"), "control.hosts is empty", "name the addresses of the control hosts")
	}
	s.Listen.check(doc, findings, s.Keys)
	s.Route.check(doc, findings)
}

func (l Listen) check(doc *setting.Document, findings *finding.List, keys Keys) {
	for key, address := range map[string]string{"listen.callers": l.Callers, "listen.platform": l.Platform, "listen.peers": l.Peers, "listen.dns": l.DNS} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			findings.Add(finding.Error, doc.Place(key), key+" is not an address: "+err.Error(), "write it as 127.0.0.1:7200")
		}
	}
	if l.AllowUnkeyed || keys.Peers != "" {
		return
	}
	for key, address := range map[string]string{"listen.platform": l.Platform, "listen.peers": l.Peers} {
		if !setting.Loopback(address) {
			findings.Add(finding.Error, doc.Place(key), key+" is beyond loopback and there are no keys", "set keys.peers, or listen.allow_unkeyed = true")
		}
	}
}
