// Command snipebeam is the operators' command line: it checks, submits and reads
// rules, and shows the state of control hosts, entry hosts and instances.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/snipebeam/snipebeam/snipebeam/command"
	"github.com/willabides/kongplete"
)

func main() {
	var root command.Root
	parser := kong.Must(&root, kong.Name("snipebeam"),
		kong.Description("Checks, submits and reads back snipebeam's rules, and shows what the system saw."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "snipebeam: %v (see \"snipebeam --help\", or --help after a command)\n", err)
		os.Exit(command.ExitFailed)
	}
	if err := ctx.Run(&root.Globals); err != nil {
		fmt.Fprintln(os.Stderr, "snipebeam: "+err.Error())
		os.Exit(command.ExitCode(err))
	}
}
