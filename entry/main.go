// Command snipebeam-entry runs one entry host: it tells callers which hosts
// to use and sends their requests to instances.
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
	if settled, code := cli.ShouldExit(os.Stdout, os.Stderr, cfg, findings); settled {
		os.Exit(code)
	}
	logger := logging.New(name, cfg.Log.Level, os.Stderr)
	os.Exit(program.Run(host.New(cfg, logger), name, logger))
}
