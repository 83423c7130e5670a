// Command demo starts a small cluster on loopback, submits the example rules,
// sends load to four services, changes a rule, drains an instance, stops an
// entry host gracefully and prints the hosts' view of it. It exits with 0 only if
// the rules allow every outcome.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/cluster"
)

type flags struct {
	Programs string        `default:".bin" help:"Folder with the programs."`
	Rules    string        `default:"examples/trois-rivieres.rules" help:"Rules file to submit."`
	Duration time.Duration `default:"20s" help:"How long to load."`
	Keep     bool          `help:"Keep the folder with settings, logs and data."`
}

// demoTimeout bounds the whole run, so that it never hangs.
const demoTimeout = 55 * time.Second

func main() {
	var cli flags
	kong.Parse(&cli, kong.Name("demo"))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, demoTimeout)
	defer cancelTimeout()
	if err := run(ctx, cli); err != nil {
		fmt.Fprintln(os.Stderr, "demo: "+err.Error())
		os.Exit(1)
	}
}

func run(ctx context.Context, cli flags) error {
	dir, err := os.MkdirTemp("", "snipebeam-demo-")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer cleanUp(dir, cli.Keep)
	c, err := cluster.New(cli.Programs, dir)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.UseKeys(); err != nil {
		return err
	}
	d := &demo{cli: cli, cluster: c, dir: dir, tool: newTool(cli.Programs, c)}
	return d.run(ctx)
}

func cleanUp(dir string, keep bool) {
	if keep {
		fmt.Println("settings, logs and data are in " + dir)
		return
	}
	_ = os.RemoveAll(dir)
}
