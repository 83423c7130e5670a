package command

import "fmt"

type rollbackCommand struct {
	Version uint64 `arg:"" help:"Version whose text is submitted again."`
	submitFlags
}

// Run submits the text of an older version as a new version; version numbers
// never decrease.
func (c *rollbackCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	name, text, err := readVersion(ctx, client, c.Version)
	if err != nil {
		return err
	}
	if c.Reason == "" {
		c.Reason = fmt.Sprintf("back to version %d", c.Version)
	}
	return c.submit(g, proposal{text: text, name: name, rollbackOf: c.Version})
}
