package settings

import "github.com/snipebeam/snipebeam/world/setting"

// Keys names key files, each with one or two keys.
type Keys struct {
	Peers     string `toml:"peers" comment:"keys between the system's hosts"`
	Operators string `toml:"operators" comment:"keys of the operators' tool"`
}

func (k Keys) check(c *setting.Checker) {
	c.KeyFiles(map[string]string{"keys.peers": k.Peers, "keys.operators": k.Operators})
}
