// Command snipebeam-control runs one control host: a replica of the accepted
// rules and of the claims on requests that run at most once. Its subcommands
// inspect, back up and restore a data folder.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/control/command"
	"github.com/snipebeam/snipebeam/control/host"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/program"
)

const name = "snipebeam-control"

type commands struct {
	Run     runCommand      `cmd:"" default:"withargs" help:"Run the control host (default)."`
	Inspect command.Inspect `cmd:"" help:"Print what a data folder holds."`
	Backup  command.Backup  `cmd:"" help:"Write the state of a data folder to a file."`
	Restore command.Restore `cmd:"" help:"Make a new group of one host from a backup."`
}

type runCommand struct {
	program.Flags
	Settings settingFlags `embed:""`
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name(name), kong.Description("A control host of snipebeam."),
		kong.Vars{"config": source.Default}, kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx.FatalIfErrorf(ctx.Run())
}

// Run runs the control host until the process is asked to stop.
func (c *runCommand) Run() error {
	cfg, findings := settings.Load(c.Path(source), program.Overrides(source, settings.Default(), c.Settings)...)
	if exit, code := c.ShouldExit(os.Stdout, os.Stderr, cfg, findings); exit {
		os.Exit(code)
	}
	logger := logging.New(name, cfg.Log.Level, os.Stderr)
	os.Exit(program.Run(host.New(cfg, logger), name, logger))
	return nil
}
