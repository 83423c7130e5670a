package main

import "github.com/snipebeam/snipebeam/world/program"

// source defines the default settings file and the prefix of the environment
// variables of a control host.
var source = program.Source{Default: "control.toml", Environment: "SNIPEBEAM_CONTROL_HOST"}

// settingFlags override the settings file. The key tag names the setting.
type settingFlags struct {
	Name      *string `name:"name" key:"host.name" help:"Unique name of this host."`
	Zone      *string `name:"zone" key:"host.zone" help:"Availability zone."`
	Peers     *string `name:"peers" key:"listen.peers" help:"Address for operators and other hosts."`
	Data      *string `name:"data" key:"data.folder" help:"Folder for durable state."`
	PeersKeys *string `name:"peers-key-file" key:"keys.peers" help:"File with the keys between hosts."`
	Operators *string `name:"operators-key-file" key:"keys.operators" help:"File with the operators' keys."`
	LogLevel  *string `name:"log-level" key:"log.level" help:"trace, debug, info, warn or error."`
}
