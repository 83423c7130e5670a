package settings

// Listen holds the addresses that this host listens on.
type Listen struct {
	Callers      string `toml:"callers" comment:"requests of callers"`
	Platform     string `toml:"platform" comment:"address answers, announcements, health and metrics"`
	Peers        string `toml:"peers" comment:"operators and other hosts of the system (Twirp over HTTP)"`
	DNS          string `toml:"dns" comment:"address answers by DNS, UDP and TCP"`
	Domain       string `toml:"domain" comment:"domain below which services are named"`
	AllowUnkeyed bool   `toml:"allow_unkeyed" comment:"listen beyond loopback without keys"`
}

func defaultListen() Listen {
	return Listen{
		Callers: "127.0.0.1:7200", Platform: "127.0.0.1:7201", Peers: "127.0.0.1:7202",
		DNS: "127.0.0.1:7253", Domain: "snipebeam.",
	}
}
