package command

import (
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

type submitCommand struct {
	File   string `arg:"" help:"Rules file."`
	Base   *int64 `help:"Version that the file was edited from; the one in force by default."`
	Author string `help:"Who submits." env:"USER" default:"operator"`
	Reason string `help:"Why." short:"m"`
}

// Run checks the file and submits it.
func (c *submitCommand) Run(g *Globals) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read rules file")
	}
	if _, findings := rule.Parse(c.File, string(text)); findings.HasErrors() {
		return findings.Err()
	}
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	base, err := c.base(g)
	if err != nil {
		return err
	}
	response, err := client.Submit(ctx, &wire.SubmitRequest{
		SubmissionId: uuid.NewString(), BaseVersion: base, Text: string(text), Author: c.Author, Reason: c.Reason,
	})
	if err != nil {
		return errors.Wrap(err, "submit")
	}
	if !response.GetAccepted() {
		return &Refusal{text: fmt.Sprintf("refused: %s, by %s; edit from that one and submit again", response.GetRefusal(), response.GetVersion().GetAuthor())}
	}
	fmt.Printf("accepted as version %d\n", response.GetVersion().GetNumber())
	return nil
}

func (c *submitCommand) base(g *Globals) (uint64, error) {
	if c.Base != nil {
		return uint64(*c.Base), nil
	}
	client, err := g.client()
	if err != nil {
		return 0, err
	}
	ctx, cancel := g.context()
	defer cancel()
	response, err := client.Read(ctx, &wire.ReadRequest{})
	return response.GetVersion().GetNumber(), errors.Wrap(err, "read the version in force")
}
