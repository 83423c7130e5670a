// Command snipebeam-standin simulates instances and callers for the demo and
// for tests.
package main

import "github.com/alecthomas/kong"

type commands struct {
	Upstream upstreamCommand `cmd:"" help:"Run an instance that announces itself."`
	Call     callCommand     `cmd:"" help:"Load a service as its callers do."`
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("snipebeam-standin"), kong.Description("Stand-ins for instances and callers."))
	ctx.FatalIfErrorf(ctx.Run())
}
