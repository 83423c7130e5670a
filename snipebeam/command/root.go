// Package command implements the operators' commands, one per file. Each is a
// struct whose tagged fields are its arguments and flags; Root registers them.
//
// Usage:
//
//	var root command.Root
//	err := kong.Parse(&root).Run(&root.Globals)
package command

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/snipebeam/snipebeam/snipebeam/control"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/willabides/kongplete"
)

// Globals are the flags of every command.
type Globals struct {
	Control []string      `help:"Addresses of control hosts; any of them will do." default:"127.0.0.1:7100" env:"SNIPEBEAM_CONTROL" placeholder:"HOST:PORT"`
	KeyFile string        `help:"File with the operators' key." env:"SNIPEBEAM_KEY_FILE" placeholder:"FILE"`
	Timeout time.Duration `help:"Time limit of one call." default:"10s"`
	Output  string        `help:"Output format: table for a person, json for a script." enum:"table,json" default:"table" short:"o"`

	Out io.Writer `kong:"-"` // standard output unless set
}

// Root registers the commands.
type Root struct {
	Globals
	Version    versionCommand               `cmd:"" help:"Show the version of this tool."`
	Check      checkCommand                 `cmd:"" help:"Check a rules file."`
	Fmt        fmtCommand                   `cmd:"" help:"Write a rules file in canonical form."`
	Submit     submitCommand                `cmd:"" help:"Submit a rules file."`
	Diff       diffCommand                  `cmd:"" help:"Compare a rules file, or a version, with the version in force."`
	Rules      rulesCommand                 `cmd:"" help:"Show the rules in force."`
	History    historyCommand               `cmd:"" help:"List accepted versions."`
	Rollback   rollbackCommand              `cmd:"" help:"Submit the text of an older version again."`
	Status     statusCommand                `cmd:"" help:"Show the control group and every host."`
	Hosts      hostsCommand                 `cmd:"" help:"List the hosts, or drain one."`
	Instances  instancesCommand             `cmd:"" help:"List the instances as the entry hosts see them."`
	Backlog    backlogCommand               `cmd:"" help:"Show what waits and runs, over all entry hosts."`
	Explain    explainCommand               `cmd:"" help:"Say which rule and instances a request gets, or what was decided."`
	Report     reportCommand                `cmd:"" help:"Draw what entry hosts logged as an HTML page."`
	Claim      claimCommand                 `cmd:"" help:"Show or resolve the claim of a request that runs at most once."`
	Group      groupCommand                 `cmd:"" help:"Change the control group."`
	Evacuate   evacuateCommand              `cmd:"" help:"Send no requests to the instances of a zone, or end that."`
	LogLevel   logLevelCommand              `cmd:"" help:"Change the log level of running entry hosts."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print the line that makes your shell complete commands."`
}

func (g *Globals) out() *terminal.Output {
	if g.Out == nil {
		g.Out = os.Stdout
	}
	return terminal.New(g.Out, g.Output)
}

// http returns an HTTP client that authenticates with the operators' key.
func (g *Globals) http() (*http.Client, error) {
	ring, err := key.Load(g.KeyFile)
	if err != nil {
		return nil, err
	}
	return ring.Client(&http.Client{Timeout: g.Timeout}), nil
}

// client returns a client of the control hosts.
func (g *Globals) client() (*control.Client, error) {
	client, err := g.http()
	if err != nil {
		return nil, err
	}
	return control.New(g.Control, client, control.WithTimeout(g.Timeout)), nil
}

func (g *Globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}
