package main

import "github.com/snipebeam/snipebeam/world/program"

// source holds the default settings file and the prefix of environment variables.
var source = program.Source{Default: "entry.toml", Environment: "SNIPEBEAM_ENTRY"}

// settingFlags override the settings file. The tag key is the key of the setting.
type settingFlags struct {
	Name      *string `name:"name" key:"host.name" help:"Unique name of this host."`
	Zone      *string `name:"zone" key:"host.zone" help:"Availability zone."`
	Callers   *string `name:"callers" key:"listen.callers" help:"Address for requests of callers."`
	Platform  *string `name:"platform" key:"listen.platform" help:"Address for address answers, announcements, health and metrics."`
	Peers     *string `name:"peers" key:"listen.peers" help:"Address for operators and other hosts."`
	DNS       *string `name:"dns" key:"listen.dns" help:"Address for answers by DNS."`
	Control   *string `name:"control" key:"control.hosts" help:"Addresses of control hosts, separated by commas."`
	Policy    *string `name:"policy" key:"route.policy" help:"Policy for services whose rules name none."`
	PeersKeys *string `name:"peers-key-file" key:"keys.peers" help:"File with the keys between hosts."`
	Operators *string `name:"operators-key-file" key:"keys.operators" help:"File with the operators' keys."`
	Upstreams *string `name:"upstreams-key-file" key:"keys.upstreams" help:"File with the instances' keys."`
	LogLevel  *string `name:"log-level" key:"log.level" help:"trace, debug, info, warn or error."`
}
