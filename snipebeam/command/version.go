package command

import "github.com/snipebeam/snipebeam/world/program"

type versionCommand struct{}

// Run prints the version.
func (c *versionCommand) Run(g *Globals) error {
	out := g.out()
	out.Line("snipebeam %s", program.Version())
	return out.Show(struct {
		Version string `json:"version"`
	}{program.Version()}, nil)
}
