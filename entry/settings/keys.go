package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Keys holds the paths of key files. Each file holds one or two keys.
type Keys struct {
	Peers     string `toml:"peers" comment:"keys between the system's hosts"`
	Operators string `toml:"operators" comment:"keys of the operators' tool"`
	Upstreams string `toml:"upstreams" comment:"keys of instances that announce themselves"`
}

func (k Keys) check(c *setting.Checker) {
	c.KeyFiles(map[string]string{"keys.peers": k.Peers, "keys.operators": k.Operators, "keys.upstreams": k.Upstreams})
}
