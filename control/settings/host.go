package settings

// Host identifies this host.
type Host struct {
	Name string `toml:"name" comment:"unique name of this host"`
	Zone string `toml:"zone" comment:"availability zone"`
}
