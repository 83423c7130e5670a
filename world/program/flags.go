package program

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Flags are the command-line flags for settings. Programs embed them in their
// own flags.
type Flags struct {
	Config      string      `help:"Settings file (TOML); ${config} by default, if it is there." env:"SNIPEBEAM_CONFIG" placeholder:"FILE"`
	CheckConfig bool        `help:"Check the settings and exit."`
	PrintConfig bool        `help:"Print the settings with each key explained, and exit."`
	Version     versionFlag `help:"Print the version and exit."`
}

type versionFlag bool

// BeforeReset prints the version and exits. It runs before kong checks required
// arguments, so that --version works without them.
func (versionFlag) BeforeReset(app *kong.Kong) error {
	fmt.Fprintln(app.Stdout, app.Model.Name+" "+Version())
	app.Exit(ExitOK)
	return nil
}

// Source defines where a program's settings come from besides flags.
type Source struct {
	Default     string // settings file to use if none is given
	Environment string // prefix of the environment variables
}

// Path returns the settings file, or the empty string if none is given and the
// default file does not exist.
func (f Flags) Path(s Source) string {
	if f.Config != "" {
		return f.Config
	}
	if _, err := os.Stat(s.Default); err != nil {
		return ""
	}
	return s.Default
}

// Overrides returns the settings given by environment variables, followed by
// those given by the program's flags, which take precedence.
func Overrides(s Source, defaults, flags any) []setting.Override {
	return append(setting.FromEnvironment(s.Environment, defaults, os.LookupEnv), setting.FromFlags(flags)...)
}

// ShouldExit reports whether the program should exit without starting, and with
// which exit code. It prints the findings, and exits if the settings have errors
// or if the flags ask only to check or print them.
func (f Flags) ShouldExit(out, errOut io.Writer, cfg any, findings finding.List) (bool, int) {
	if f.PrintConfig {
		if err := setting.Print(out, cfg); err != nil {
			return true, fail(errOut, "settings", err)
		}
		return true, ExitOK
	}
	for _, found := range findings.All() {
		fmt.Fprintln(errOut, found)
	}
	if findings.HasErrors() {
		return true, ExitSettings
	}
	if f.CheckConfig {
		fmt.Fprintln(out, "the settings have no errors")
	}
	return f.CheckConfig, ExitOK
}
