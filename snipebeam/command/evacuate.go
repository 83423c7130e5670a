package command

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/wire"
)

type evacuateCommand struct {
	Start  evacuateStartCommand  `cmd:"" help:"Send no more requests to the instances of a zone."`
	Finish evacuateFinishCommand `cmd:"" help:"Send requests to the instances of a zone again."`
	List   evacuateListCommand   `cmd:"" help:"List the evacuated zones."`
}

// evacuationOrder holds the arguments of an order.
type evacuationOrder struct {
	Zone   string `arg:"" help:"Name of the availability zone."`
	Author string `help:"Who orders." env:"USER" default:"operator"`
	Reason string `help:"Why." short:"m" required:""`
}

func (o evacuationOrder) wire(end bool) *wire.EvacuationOrder {
	return &wire.EvacuationOrder{Zone: o.Zone, End: end, Author: o.Author, Reason: o.Reason}
}

type evacuateStartCommand struct{ evacuationOrder }

// Run starts the evacuation of a zone.
func (c *evacuateStartCommand) Run(g *Globals) error {
	return orderEvacuation(g, c.wire(false), "zone %s is evacuated", "zone %s was evacuated already")
}

type evacuateFinishCommand struct{ evacuationOrder }

// Run ends the evacuation of a zone.
func (c *evacuateFinishCommand) Run(g *Globals) error {
	return orderEvacuation(g, c.wire(true), "zone %s is in use again", "zone %s was not evacuated")
}

func orderEvacuation(g *Globals, order *wire.EvacuationOrder, changed, unchanged string) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	result, err := client.OrderEvacuation(ctx, order)
	if err != nil {
		return errors.Wrap(err, "order evacuation")
	}
	out, format := g.out(), unchanged
	if result.GetChanged() {
		format = changed
	}
	out.Line(format, order.GetZone())
	return out.Show(struct {
		Zone      string `json:"zone"`
		Evacuated bool   `json:"evacuated"`
		Changed   bool   `json:"changed"`
		Revision  uint64 `json:"revision"`
	}{order.GetZone(), !order.GetEnd(), result.GetChanged(), result.GetRevision()}, nil)
}

// evacuationView is an evacuated zone in JSON.
type evacuationView struct {
	Zone   string `json:"zone"`
	Since  string `json:"since"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

type evacuateListCommand struct{}

// Run lists the evacuated zones.
func (c *evacuateListCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	response, err := client.Evacuations(ctx)
	if err != nil {
		return errors.Wrap(err, "list evacuations")
	}
	rows := terminal.NewTable("zone", "since", "by", "reason").Empty("no zone is evacuated")
	views := []evacuationView{}
	for _, e := range response.GetEvacuations() {
		rows.Row(e.GetZone(), formatTime(e.GetSince()), e.GetAuthor(), e.GetReason())
		views = append(views, evacuationView{Zone: e.GetZone(), Since: formatTime(e.GetSince()), Author: e.GetAuthor(), Reason: e.GetReason()})
	}
	if err := g.out().Show(views, rows); err != nil {
		return err
	}
	if response.GetStale() {
		return newStaleError(response.GetAsOf())
	}
	return nil
}
