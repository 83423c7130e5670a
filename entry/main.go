// Command snipebeam-entry runs one entry host: it tells callers which hosts
// to use and sends their requests to instances.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/entry/host"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/logging"
)

type flags struct {
	Config      string `help:"Settings file (TOML)." default:"entry.toml" env:"SNIPEBEAM_CONFIG"`
	CheckConfig bool   `help:"Check the settings file and exit."`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("snipebeam-entry"), kong.Description("An entry host of snipebeam."))
	cfg, findings := settings.Load(cli.Config)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if cli.CheckConfig {
		return
	}
	app := host.New(cfg, logging.New("snipebeam-entry", cfg.Log.Level, os.Stderr))
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	app.Run()
}
