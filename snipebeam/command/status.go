package command

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

type statusCommand struct{}

// Run prints the control group and every host.
func (c *statusCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	status, err := client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	fmt.Printf("version %d in force, leader %s, quorum %t\n", status.GetVersion().GetNumber(), status.GetLeader(), status.GetQuorum())
	for _, h := range status.GetHosts() {
		fmt.Printf("%-12s %-14s %-9s version %d\n", h.GetName(), h.GetZone(), h.GetState(), h.GetVersion())
	}
	return nil
}
