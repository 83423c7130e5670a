package command

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/entry"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

type backlogCommand struct {
	Service   string `arg:"" optional:"" help:"Service to show; all by default."`
	Instances bool   `help:"Show each instance as well."`
	Host      string `help:"Entry host whose view to show; all of them together by default."`
	watching
}

// backlogView is the backlog in JSON.
type backlogView struct {
	AsOf     string          `json:"asOf"`
	Heard    int             `json:"heard"`
	Unheard  []string        `json:"unheard"`
	Services []entry.Backlog `json:"services"`
}

// Run shows the backlog over all entry hosts.
func (c *backlogCommand) Run(g *Globals) error {
	return c.repeat(g, func(ctx context.Context, out *terminal.Output) error { return c.show(ctx, g, out) })
}

func (c *backlogCommand) show(ctx context.Context, g *Globals, out *terminal.Output) error {
	gathered, err := gather(ctx, g, c.Host, func(ctx context.Context, h wire.Entry) (*wire.BacklogResponse, error) {
		return h.Backlog(ctx, &wire.BacklogRequest{Service: c.Service})
	})
	if err != nil {
		return err
	}
	var lines []*wire.ServiceBacklog
	for _, answer := range gathered.Responses {
		lines = append(lines, c.wanted(answer.Value.GetServices())...)
	}
	view := backlogView{
		AsOf: time.Now().Format(time.RFC3339), Heard: len(gathered.Responses), Unheard: append([]string{}, gathered.Failed...),
		Services: entry.MergeBacklogs(lines, len(gathered.Failed) > 0),
	}
	if err := c.own(ctx, g, view.Services); err != nil {
		return err
	}
	out.Line("as of %s, from %d entry hosts, %d unheard", view.AsOf, view.Heard, len(view.Unheard))
	if err := out.Show(view, backlogRows(out, view.Services)); err != nil {
		return err
	}
	return gathered.problem()
}

// own names the owners that the rules in force give, where hosts named none.
func (c *backlogCommand) own(ctx context.Context, g *Globals, services []entry.Backlog) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	response, err := client.Read(ctx, 0)
	if err != nil {
		return errors.Wrap(err, "read who owns the services")
	}
	set, _ := rule.Read("rules", response.GetText())
	for n, b := range services {
		line := set.Service(b.Service)
		if b.Owner != "" || line == nil {
			continue
		}
		services[n].Owner = line.Terms().Owner()
		services[n].Reason = line.Reason().Why()
	}
	return nil
}

// wanted leaves out the lines of instances unless they are asked for.
func (c *backlogCommand) wanted(lines []*wire.ServiceBacklog) []*wire.ServiceBacklog {
	var all []*wire.ServiceBacklog
	for _, line := range lines {
		if line.GetInstance() == "" || c.Instances {
			all = append(all, line)
		}
	}
	return all
}

func backlogRows(out *terminal.Output, services []entry.Backlog) *terminal.Rows {
	rows := terminal.NewTable("service", "instance", "owner", "queued", "in flight", "oldest", "arrive/s", "finish/s", "errors/s", "growth").
		Empty("no request has come yet")
	for _, b := range services {
		growth := "none seen"
		if b.Growing {
			growth = out.Bad("growing for " + time.Since(b.GrowingSince).Round(time.Second).String())
		}
		rows.Row(b.Service, b.Instance, b.Owner, atLeast(b.Queued, b.AtLeast), atLeast(b.InFlight, b.AtLeast), milliseconds(b.OldestMs),
			fmt.Sprintf("%.1f", b.ArrivalsPerSecond), fmt.Sprintf("%.1f", b.CompletionsPerSecond), fmt.Sprintf("%.1f", b.ErrorsPerSecond), growth)
	}
	return rows
}
