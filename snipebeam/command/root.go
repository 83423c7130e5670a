// Package command holds the operators' commands, one a file. Each is a struct
// whose tagged fields are its flags; Root registers them.
//
// Usage:
//
//	var root command.Root
//	err := kong.Parse(&root).Run(&root.Globals)
package command

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/control"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/key"
)

// Exit codes.
const (
	ExitFailed   = 1 // the command failed
	ExitFindings = 2 // the rules file has errors
	ExitRefused  = 3 // the submission was refused
	ExitStale    = 4 // the answer may be out of date
)

// Globals are the flags of every command.
type Globals struct {
	Control []string      `help:"Addresses of control hosts." default:"127.0.0.1:7100" env:"SNIPEBEAM_CONTROL"`
	KeyFile string        `help:"File with the operators' key." env:"SNIPEBEAM_KEY_FILE"`
	Timeout time.Duration `help:"Time limit of one call." default:"10s"`
	Output  string        `help:"Output format." enum:"table,json" default:"table" short:"o"`
}

// Root registers the commands.
type Root struct {
	Globals
	Check  checkCommand  `cmd:"" help:"Check a rules file."`
	Submit submitCommand `cmd:"" help:"Submit a rules file."`
	Rules  rulesCommand  `cmd:"" help:"Show the rules in force."`
	Status statusCommand `cmd:"" help:"Show the control group and every host."`
}

// client returns a client of the control hosts.
func (g *Globals) client() (*control.Client, error) {
	ring, err := key.Load(g.KeyFile)
	if err != nil {
		return nil, err
	}
	return control.New(g.Control, ring.Client(&http.Client{Timeout: g.Timeout})), nil
}

func (g *Globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// Refusal is the error of a submission that was refused.
type Refusal struct {
	text string
}

// Error returns why the submission was refused and what to do next.
func (r *Refusal) Error() string { return r.text }

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var findings *finding.Failure
	var refusal *Refusal
	switch {
	case errors.As(err, &findings):
		return ExitFindings
	case errors.As(err, &refusal):
		return ExitRefused
	default:
		return ExitFailed
	}
}
