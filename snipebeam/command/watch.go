package command

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/snipebeam/snipebeam/snipebeam/terminal"
)

// watchFlags holds the flags of commands that can refresh their output
// periodically.
type watchFlags struct {
	Watch bool          `help:"Show it again and again, until interrupted." short:"w"`
	Every time.Duration `help:"Time between two rounds of --watch." default:"2s"`
}

// repeat calls show once or, with --watch, periodically until interrupted. A
// failed round of a watch is printed and does not end it.
func (f watchFlags) repeat(g *Globals, show func(ctx context.Context, out *terminal.Output) error) error {
	out := g.out()
	if !f.Watch {
		ctx, cancel := g.context()
		defer cancel()
		return show(ctx, out)
	}
	interrupted, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for {
		out.Clear()
		f.showRound(interrupted, g, out, show)
		select {
		case <-interrupted.Done():
			return nil
		case <-time.After(f.Every):
		}
	}
}

func (watchFlags) showRound(ctx context.Context, g *Globals, out *terminal.Output, show func(ctx context.Context, out *terminal.Output) error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	if err := show(ctx, out); err != nil {
		out.Line("%s", out.Bad(err.Error()))
	}
}
