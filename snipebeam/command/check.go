package command

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/rule"
)

type checkCommand struct {
	File string `arg:"" help:"Rules file."`
}

// Run prints every finding; errors make the command fail.
func (c *checkCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read rules file")
	}
	set, findings := rule.Parse(c.File, string(text))
	if err := findings.Err(); err != nil {
		return err
	}
	for _, f := range findings.All() {
		fmt.Println(f)
	}
	fmt.Printf("%s: %d services, no errors\n", c.File, len(set.Services()))
	return nil
}
