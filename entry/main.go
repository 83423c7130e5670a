// Command snipebeam-entry runs an entry host. It answers the address queries of
// callers and forwards their requests to instances.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/entry/host"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/program"
)

const name = "snipebeam-entry"

type flags struct {
	program.Flags
	Settings settingFlags `embed:""`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name(name), kong.Description("An entry host of snipebeam."), kong.Vars{"config": source.Default})
	cfg, findings := settings.Load(cli.Path(source), program.Overrides(source, settings.Default(), cli.Settings)...)
	if exit, code := cli.ShouldExit(os.Stdout, os.Stderr, cfg, findings); exit {
		os.Exit(code)
	}
	logger := logging.New(name, cfg.Log.Level, os.Stderr)
	os.Exit(program.Run(host.New(cfg, logger), name, logger))
}
