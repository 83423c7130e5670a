package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/entry"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/wire"
)

type instancesCommand struct {
	Service string `arg:"" optional:"" help:"Service to list; all by default."`
	Host    string `help:"Entry host whose view to show; all of them together by default."`
	watching
}

// Run lists the instances.
func (c *instancesCommand) Run(g *Globals) error {
	return c.repeat(g, func(ctx context.Context, out *terminal.Output) error { return c.show(ctx, g, out) })
}

func (c *instancesCommand) show(ctx context.Context, g *Globals, out *terminal.Output) error {
	gathered, err := gather(ctx, g, c.Host, func(ctx context.Context, h wire.Entry) (*wire.InstancesResponse, error) {
		return h.Instances(ctx, &wire.InstancesRequest{Service: c.Service})
	})
	if err != nil {
		return err
	}
	instances := entry.MergeInstances(gathered.Responses, len(gathered.Failed) > 0)
	rows := terminal.NewTable("instance", "service", "zone", "state", "in flight", "slots", "reported", "report age", "latency", "errors/s", "seen by").
		Empty("no instance has announced itself")
	for _, i := range instances {
		rows.Row(i.ID, i.Service, i.Zone, out.State(i.State), atLeast(i.InFlight, i.AtLeast), i.Slots, i.Reported,
			milliseconds(i.ReportAgeMs), milliseconds(i.LatencyMs), fmt.Sprintf("%.1f", i.ErrorsPerSecond), len(i.SeenBy))
	}
	if err := out.Show(instances, rows); err != nil {
		return err
	}
	return gathered.problem()
}

// gatheredAnswers adds to the answers of hosts what the command says of those
// that were not heard.
type gatheredAnswers[T any] struct{ entry.Gathered[T] }

func (a gatheredAnswers[T]) problem() error {
	if len(a.Failed) == 0 {
		return nil
	}
	return &StaleError{text: fmt.Sprintf("%d hosts unheard: %v; counts are at least what is shown (last error: %v)", len(a.Failed), a.Failed, a.Err)}
}

// gather asks every entry host, or the named one.
func gather[T any](ctx context.Context, g *Globals, only string, call func(context.Context, wire.Entry) (T, error)) (gatheredAnswers[T], error) {
	var none gatheredAnswers[T]
	client, err := g.client()
	if err != nil {
		return none, err
	}
	caller, err := g.http()
	if err != nil {
		return none, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return none, errors.Wrap(err, "read which hosts there are")
	}
	hosts := entry.Hosts(status)
	if only != "" {
		host, err := findHost(ctx, client, only)
		if err != nil {
			return none, err
		}
		hosts = []*wire.HostReport{host}
	}
	if len(hosts) == 0 {
		return none, errors.New("no entry host reports to the control hosts yet (see \"snipebeam status\")")
	}
	return gatheredAnswers[T]{entry.Gather(ctx, caller, hosts, call)}, nil
}
