// Command snipebeam-control runs one control host: a replica of the accepted
// rules and of the claims on requests that run at most once.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/control/host"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/logging"
)

type flags struct {
	Config      string `help:"Settings file (TOML)." default:"control.toml" env:"SNIPEBEAM_CONFIG"`
	CheckConfig bool   `help:"Check the settings file and exit."`
}

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("snipebeam-control"), kong.Description("A control host of snipebeam."))
	cfg, findings := settings.Load(cli.Config)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if cli.CheckConfig {
		return
	}
	app := host.New(cfg, logging.New("snipebeam-control", cfg.Log.Level, os.Stderr))
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	app.Run()
}
