package command

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/entry"
	"github.com/snipebeam/snipebeam/world/wire"
)

type hostsDrainCommand struct {
	Host string `arg:"" help:"Name of the entry host."`
	Wait bool   `help:"Wait until nothing is in flight."`
}

type hostsBackCommand struct {
	Host string `arg:"" help:"Name of the entry host."`
}

// Run drains a host.
func (c *hostsDrainCommand) Run(g *Globals) error {
	for {
		response, err := drain(g, c.Host, true)
		if err != nil {
			return err
		}
		if !c.Wait || response.GetInFlight() == 0 {
			return showDrain(g, c.Host, response)
		}
		time.Sleep(waitPoll)
	}
}

// Run ends the draining of a host.
func (c *hostsBackCommand) Run(g *Globals) error {
	response, err := drain(g, c.Host, false)
	if err != nil {
		return err
	}
	return showDrain(g, c.Host, response)
}

func drain(g *Globals, name string, start bool) (*wire.DrainResponse, error) {
	client, err := g.client()
	if err != nil {
		return nil, err
	}
	caller, err := g.http()
	if err != nil {
		return nil, err
	}
	ctx, cancel := g.context()
	defer cancel()
	host, err := findHost(ctx, client, name)
	if err != nil {
		return nil, err
	}
	response, err := entry.Call(ctx, caller, host, func(ctx context.Context, h wire.Entry) (*wire.DrainResponse, error) {
		return h.Drain(ctx, &wire.DrainRequest{Drain: start})
	})
	return response, errors.Wrapf(err, "drain %s", name)
}

func showDrain(g *Globals, name string, r *wire.DrainResponse) error {
	oldest := float64(r.GetOldestNs()) / float64(time.Millisecond)
	out := g.out()
	out.Line("%s: %s, %d in flight, oldest %s", name, out.State(r.GetState()), r.GetInFlight(), milliseconds(oldest))
	return out.Show(struct {
		Host     string  `json:"host"`
		State    string  `json:"state"`
		InFlight uint32  `json:"inFlight"`
		OldestMs float64 `json:"oldestMs"`
	}{name, r.GetState(), r.GetInFlight(), oldest}, nil)
}
