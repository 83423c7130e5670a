package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Listen holds the addresses that this host listens on.
type Listen struct {
	Peers        string `toml:"peers" comment:"operators, entry hosts and other control hosts (Twirp over HTTP)"`
	Metrics      string `toml:"metrics" comment:"metrics alone, empty: with the peers listener only"`
	AllowUnkeyed bool   `toml:"allowUnkeyed" comment:"listen beyond loopback without keys"`
}

func defaultListen() Listen { return Listen{Peers: "127.0.0.1:7100"} }

func (l Listen) check(c *setting.Checker, keys Keys) {
	c.Address("listen.peers", l.Peers, "127.0.0.1:7100")
	if l.Metrics != "" {
		c.Address("listen.metrics", l.Metrics, "127.0.0.1:9100")
	}
	c.Authenticated("listen.peers", l.Peers, keys.Peers != "" && keys.Operators != "", l.AllowUnkeyed)
}
