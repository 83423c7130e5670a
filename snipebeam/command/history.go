package command

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
)

type historyCommand struct {
	Limit int `help:"How many versions to list, newest first." default:"20" short:"n"`
}

// Run lists accepted versions.
func (c *historyCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	response, err := client.History(ctx, c.Limit)
	if err != nil {
		return errors.Wrap(err, "read history")
	}
	rows := terminal.NewTable("version", "accepted", "by", "reason", "rollback of").Empty("no version was accepted yet")
	views := []versionView{}
	for _, v := range response.GetVersions() {
		rows.Row(v.GetNumber(), formatTime(v.GetAcceptedAt()), v.GetAuthor(), v.GetReason(), formatNonZero(v.GetRollbackOf()))
		views = append(views, viewVersion(v))
	}
	if err := g.out().Show(views, rows); err != nil {
		return err
	}
	if response.GetStale() {
		return newStaleError(response.GetAsOf())
	}
	return nil
}
