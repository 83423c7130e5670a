package settings

// Keys names key files, each with one or two keys.
type Keys struct {
	Peers     string `toml:"peers" comment:"file with the keys between the system's hosts"`
	Operators string `toml:"operators" comment:"file with the operators' keys"`
}
