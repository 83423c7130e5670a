package program

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/setting"
)

// Flags are the flags about settings. Embed them in a program's own.
type Flags struct {
	Config      string      `help:"Settings file (TOML); ${config} by default, if it is there." env:"SNIPEBEAM_CONFIG" placeholder:"FILE"`
	CheckConfig bool        `help:"Check the settings and exit."`
	PrintConfig bool        `help:"Print the settings with each key explained, and exit."`
	Version     versionFlag `help:"Print the version and exit."`
}

type versionFlag bool

// BeforeReset prints the version before required arguments are asked for.
func (versionFlag) BeforeReset(app *kong.Kong) error {
	fmt.Fprintln(app.Stdout, app.Model.Name+" "+Version())
	app.Exit(ExitOK)
	return nil
}

// Source says where a program's settings come from.
type Source struct {
	Default     string // name of the settings file if none is given
	Environment string // prefix of the environment variables
}

// Path returns the settings file, empty if none is given and the default one
// is not there.
func (f Flags) Path(s Source) string {
	if f.Config != "" {
		return f.Config
	}
	if _, err := os.Stat(s.Default); err != nil {
		return ""
	}
	return s.Default
}

// Overrides returns what the environment and a program's flags set.
func Overrides(s Source, defaults, flags any) []setting.Override {
	return append(setting.FromEnvironment(s.Environment, defaults, os.LookupEnv), setting.FromFlags(flags)...)
}

// ShouldExit reports whether the program ends here, and with which exit code:
// when the settings have errors, or were only to be checked or printed.
func (f Flags) ShouldExit(out, errOut io.Writer, cfg any, findings finding.List) (bool, int) {
	if f.PrintConfig {
		if err := setting.Print(out, cfg); err != nil {
			return true, fail(errOut, "settings", err)
		}
		return true, ExitOK
	}
	for _, one := range findings.All() {
		fmt.Fprintln(errOut, one)
	}
	if findings.HasErrors() {
		return true, ExitSettings
	}
	if f.CheckConfig {
		fmt.Fprintln(out, "the settings have no errors")
	}
	return f.CheckConfig, ExitOK
}
