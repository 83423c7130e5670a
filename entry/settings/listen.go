package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Listen holds the addresses that this host listens on.
type Listen struct {
	Callers      string `toml:"callers" comment:"requests of callers"`
	Metrics      string `toml:"metrics" comment:"metrics alone, empty: with the platform listener only"`
	Platform     string `toml:"platform" comment:"address answers, announcements, health and metrics"`
	Peers        string `toml:"peers" comment:"operators and other hosts of the system (Twirp over HTTP)"`
	DNS          string `toml:"dns" comment:"address answers by DNS, UDP and TCP"`
	Domain       string `toml:"domain" comment:"domain below which services are named"`
	AllowUnkeyed bool   `toml:"allowUnkeyed" comment:"listen beyond loopback without keys"`
}

func defaultListen() Listen {
	return Listen{
		Callers: "127.0.0.1:7200", Platform: "127.0.0.1:7201", Peers: "127.0.0.1:7202",
		DNS: "127.0.0.1:7253", Domain: "snipebeam.",
	}
}

func (l Listen) check(c *setting.Checker, keys Keys) {
	c.Address("listen.callers", l.Callers, "127.0.0.1:7200")
	c.Address("listen.platform", l.Platform, "127.0.0.1:7201")
	c.Address("listen.peers", l.Peers, "127.0.0.1:7202")
	if l.Metrics != "" {
		c.Address("listen.metrics", l.Metrics, "127.0.0.1:9100")
	}
	c.Address("listen.dns", l.DNS, "127.0.0.1:7253")
	c.Advertised("listen.callers", l.Callers)
	c.Advertised("listen.platform", l.Platform)
	c.Advertised("listen.peers", l.Peers)
	c.Required("listen.domain", l.Domain, "write it as snipebeam.")
	c.Authenticated("listen.platform", l.Platform, keys.Upstreams != "", l.AllowUnkeyed)
	c.Authenticated("listen.peers", l.Peers, keys.Peers != "" && keys.Operators != "", l.AllowUnkeyed)
}
