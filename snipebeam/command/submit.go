package command

import (
	"github.com/snipebeam/snipebeam/world/rule"
)

type submitCommand struct {
	File string  `arg:"" help:"Rules file, - for standard input." predictor:"file"`
	Base *uint64 `help:"Version that the file was edited from; the one in force by default."`
	submitFlags
}

// Run checks the file and submits it.
func (c *submitCommand) Run(g *Globals) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	_, findings := rule.Parse(c.File, text)
	if findings.HasErrors() {
		return findings.Err()
	}
	return c.submit(g, proposal{text: text, base: c.Base, name: c.File})
}
