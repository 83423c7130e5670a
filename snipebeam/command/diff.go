package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/control"
	"github.com/snipebeam/snipebeam/snipebeam/difference"
)

type diffCommand struct {
	File     string `arg:"" optional:"" help:"Rules file to compare; or use --to."`
	From     uint64 `help:"Older version; the one in force by default."`
	To       uint64 `help:"Newer version, in place of a file."`
	ExitCode bool   `help:"Exit with 5 if there is a difference."`
}

// Run prints the changes in the unified format.
func (c *diffCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	oldName, oldText, err := readVersion(ctx, client, c.From)
	if err != nil {
		return err
	}
	newName, newText, err := c.newer(ctx, client)
	if err != nil {
		return err
	}
	changes := difference.Unified(oldName, oldText, newName, newText)
	out := g.out()
	out.Text(changes)
	if changes == "" {
		out.Line("no difference")
	}
	err = out.Show(struct {
		Difference string `json:"difference"`
	}{changes}, nil)
	if err == nil && c.ExitCode && changes != "" {
		return &DifferenceError{text: newName + " differs from " + oldName}
	}
	return err
}

func (c *diffCommand) newer(ctx context.Context, client *control.Client) (name, text string, err error) {
	if c.File == "" {
		if c.To == 0 {
			return "", "", errors.New("nothing to compare with (name a rules file, or a version with --to)")
		}
		return readVersion(ctx, client, c.To)
	}
	text, err = readFile(c.File)
	return c.File, text, err
}

// readVersion returns the name and text of a version, 0 for the one in force.
func readVersion(ctx context.Context, client *control.Client, number uint64) (name, text string, err error) {
	response, err := client.Read(ctx, number)
	if err != nil {
		return "", "", errors.Wrap(err, "read rules")
	}
	if number > 0 && response.GetVersion() == nil {
		return "", "", errors.Errorf("there is no version %d (see \"snipebeam history\")", number)
	}
	if number > 0 && response.GetText() == "" {
		return "", "", errors.Errorf("the text of version %d is no longer kept (take it from your version control)", number)
	}
	return fmt.Sprintf("version %d", response.GetVersion().GetNumber()), response.GetText(), nil
}
