package command

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/snipebeam/snipebeam/snipebeam/terminal"
)

// watching holds the flags of commands that can show their answer again and
// again.
type watching struct {
	Watch bool          `help:"Show it again and again, until interrupted." short:"w"`
	Every time.Duration `help:"Time between two rounds of --watch." default:"2s"`
}

// repeat shows once, or again and again; then a round that fails is told and
// does not end the watch.
func (f watching) repeat(g *Globals, show func(ctx context.Context, out *terminal.Output) error) error {
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
		f.round(interrupted, g, out, show)
		select {
		case <-interrupted.Done():
			return nil
		case <-time.After(f.Every):
		}
	}
}

func (watching) round(ctx context.Context, g *Globals, out *terminal.Output, show func(ctx context.Context, out *terminal.Output) error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	if err := show(ctx, out); err != nil {
		out.Line("%s", out.Bad(err.Error()))
	}
}
