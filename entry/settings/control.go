package settings

// Control names the control hosts.
type Control struct {
	Hosts []string `toml:"hosts" comment:"addresses of the control hosts' peers listeners"`
}
