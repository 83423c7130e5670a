// Command snipebeam-control runs one control host: a replica of the accepted
// rules and of the claims on requests that run at most once.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/control/host"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/program"
)

const name = "snipebeam-control"

type flags struct {
	program.Flags
	Settings settingFlags `embed:""`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name(name), kong.Description("A control host of snipebeam."), kong.Vars{"config": source.Default})
	cfg, findings := settings.Load(cli.Path(source), program.Overrides(source, settings.Default(), cli.Settings)...)
	if settled, code := cli.Settled(os.Stdout, os.Stderr, cfg, findings); settled {
		os.Exit(code)
	}
	logger := logging.New(name, cfg.Log.Level, os.Stderr)
	os.Exit(program.Run(host.New(cfg, logger), name, logger))
}
