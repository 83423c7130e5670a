// Command snipebeam is the operators' tool.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/snipebeam/snipebeam/snipebeam/command"
)

func main() {
	var root command.Root
	ctx := kong.Parse(&root, kong.Name("snipebeam"), kong.Description("Checks, submits and reads back snipebeam's rules, and shows what the system saw."))
	if err := ctx.Run(&root.Globals); err != nil {
		fmt.Fprintln(os.Stderr, "snipebeam: "+err.Error())
		os.Exit(command.ExitCode(err))
	}
}
