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
	watchFlags
}

// backlogView is the backlog in JSON.
type backlogView struct {
	AsOf      string          `json:"asOf"`
	Responded int             `json:"heard"`
	Failed    []string        `json:"unheard"`
	Services  []entry.Backlog `json:"services"`
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
	for _, response := range gathered.Responses {
		lines = append(lines, c.filterLines(response.Value.GetServices())...)
	}
	view := backlogView{
		AsOf: time.Now().Format(time.RFC3339), Responded: len(gathered.Responses), Failed: append([]string{}, gathered.Failed...),
		Services: entry.MergeBacklogs(lines, len(gathered.Failed) > 0),
	}
	if err := c.fillOwners(ctx, g, view.Services); err != nil {
		return err
	}
	out.Line("as of %s, from %d entry hosts, %d unheard", view.AsOf, view.Responded, len(view.Failed))
	if err := out.Show(view, backlogRows(out, view.Services)); err != nil {
		return err
	}
	return gathered.incompleteError()
}

// fillOwners takes the owner from the rules in force where no host reported one.
func (c *backlogCommand) fillOwners(ctx context.Context, g *Globals, services []entry.Backlog) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	response, err := client.Read(ctx, 0)
	if err != nil {
		return errors.Wrap(err, "read the owners of the services")
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

// filterLines drops the lines of instances unless --instances is set.
func (c *backlogCommand) filterLines(lines []*wire.ServiceBacklog) []*wire.ServiceBacklog {
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
		rows.Row(b.Service, b.Instance, b.Owner, formatCount(b.Queued, b.AtLeast), formatCount(b.InFlight, b.AtLeast), formatMilliseconds(b.OldestMs),
			fmt.Sprintf("%.1f", b.ArrivalsPerSecond), fmt.Sprintf("%.1f", b.CompletionsPerSecond), fmt.Sprintf("%.1f", b.ErrorsPerSecond), growth)
	}
	return rows
}
