package command

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

type rulesCommand struct {
	Version uint64 `help:"Version to show; the one in force by default."`
}

// Run prints one version of the rules.
func (c *rulesCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	response, err := client.Read(ctx, &wire.ReadRequest{Number: c.Version})
	if err != nil {
		return errors.Wrap(err, "read rules")
	}
	v := response.GetVersion()
	fmt.Printf("# version %d, by %s, %s\n%s", v.GetNumber(), v.GetAuthor(), time.Unix(0, v.GetAcceptedAt()).Format(time.RFC3339), response.GetText())
	return nil
}
