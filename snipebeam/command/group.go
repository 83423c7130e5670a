package command

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/control"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Changes of the control group.
const (
	changeAdd     = "add-learner"
	changePromote = "promote"
	changeRemove  = "remove"
)

type groupCommand struct {
	Add      groupAddCommand      `cmd:"" help:"Add a control host as a learner; it does not vote yet."`
	Promote  groupPromoteCommand  `cmd:"" help:"Let a learner that has caught up vote."`
	Remove   groupRemoveCommand   `cmd:"" help:"Remove a member."`
	Transfer groupTransferCommand `cmd:"" help:"Hand leadership over to a member."`
}

type groupAddCommand struct {
	Name     string `arg:"" help:"Name of the control host."`
	Address  string `arg:"" help:"Address of its peers listener."`
	Identity string `help:"Identity of its data folder; asked of the host by default."`
}

// Run adds a learner.
func (c *groupAddCommand) Run(g *Globals) error {
	return change(g, changeAdd, &wire.Member{Name: c.Name, Address: c.Address, Identity: c.Identity})
}

type groupPromoteCommand struct {
	Name     string `arg:"" help:"Name of the learner."`
	Identity string `help:"Identity of its data folder, if several members have the name."`
}

// Run lets a learner vote.
func (c *groupPromoteCommand) Run(g *Globals) error {
	return change(g, changePromote, &wire.Member{Name: c.Name, Identity: c.Identity})
}

type groupRemoveCommand struct {
	Name     string `arg:"" help:"Name of the member."`
	Identity string `help:"Identity of its data folder, if several members have the name."`
}

// Run removes a member.
func (c *groupRemoveCommand) Run(g *Globals) error {
	return change(g, changeRemove, &wire.Member{Name: c.Name, Identity: c.Identity})
}

func change(g *Globals, what string, member *wire.Member) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	r, err := client.ChangeGroup(ctx, &wire.GroupChangeRequest{Change: what, Member: member})
	if err != nil {
		return errors.Wrap(err, "change the control group")
	}
	if !r.GetDone() {
		return &RefusedError{text: "refused: " + r.GetRefusal() + " (look at the members in \"snipebeam status\"; one change at a time)"}
	}
	rows := terminal.NewTable("member", "address", "role", "identity")
	views := []memberView{}
	for _, m := range r.GetMembers() {
		rows.Row(m.GetName(), m.GetAddress(), m.GetRole(), m.GetIdentity())
		views = append(views, memberView{Name: m.GetName(), Address: m.GetAddress(), Role: m.GetRole(), Identity: m.GetIdentity(), Reachable: m.GetReachable()})
	}
	return g.out().Show(views, rows)
}

type groupTransferCommand struct {
	To string `arg:"" help:"Name of the member that is to lead."`
}

// Run hands leadership over.
func (c *groupTransferCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	r, err := client.Transfer(ctx, c.To)
	if control.Refused(err) {
		return &RefusedError{text: "refused: " + err.Error()}
	}
	if err != nil {
		return errors.Wrap(err, "hand leadership over")
	}
	if !r.GetDone() {
		return &RefusedError{text: "not handed over; the leader is " + nobody(r.GetLeader()) + " (the member must vote and have caught up)"}
	}
	out := g.out()
	out.Line("the leader is %s", r.GetLeader())
	return out.Show(struct {
		Leader string `json:"leader"`
	}{r.GetLeader()}, nil)
}
