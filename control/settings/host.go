package settings

// Host says what this host is.
type Host struct {
	Name string `toml:"name" comment:"unique name of this host"`
	Zone string `toml:"zone" comment:"availability zone"`
}
