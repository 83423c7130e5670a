package settings

// Listen holds the addresses that this host listens on.
type Listen struct {
	Peers        string `toml:"peers" comment:"operators, entry hosts and other control hosts (Twirp over HTTP)"`
	AllowUnkeyed bool   `toml:"allow_unkeyed" comment:"listen beyond loopback without keys"`
}

func defaultListen() Listen { return Listen{Peers: "127.0.0.1:7100"} }
