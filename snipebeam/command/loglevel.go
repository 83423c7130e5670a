package command

import (
	"context"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

type logLevelCommand struct {
	Level   string `arg:"" enum:"trace,debug,info,warn,error" help:"trace, debug, info, warn or error."`
	Package string `help:"Package whose level to change, as its log lines name it; all by default."`
	Host    string `help:"Entry host to change; all of them by default."`
}

// Run changes the log level until the hosts restart.
func (c *logLevelCommand) Run(g *Globals) error {
	ctx, cancel := g.context()
	defer cancel()
	gathered, err := gather(ctx, g, c.Host, func(ctx context.Context, h wire.Entry) (*wire.LogLevelResponse, error) {
		return h.SetLogLevel(ctx, &wire.LogLevelRequest{Level: c.Level, Package: c.Package})
	})
	if err != nil {
		return err
	}
	if len(gathered.Responses) == 0 {
		return errors.Wrap(gathered.Err, "change the log level")
	}
	changed := []string{}
	for _, answer := range gathered.Responses {
		changed = append(changed, answer.Host)
	}
	out := g.out()
	out.Line("%s on %v, until they restart", c.Level, changed)
	err = out.Show(struct {
		Level string   `json:"level"`
		Hosts []string `json:"hosts"`
	}{c.Level, changed}, nil)
	if err != nil {
		return err
	}
	return gathered.problem()
}
