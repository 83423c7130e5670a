package command

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

type rulesCommand struct {
	Version uint64 `help:"Version to show; the one in force by default."`
	Service string `help:"Show the lines of one service only."`
}

// versionView is an accepted version in JSON.
type versionView struct {
	Version      uint64 `json:"version"`
	Author       string `json:"author"`
	Reason       string `json:"reason"`
	AcceptedAt   string `json:"acceptedAt"`
	Digest       string `json:"digest"`
	SubmissionID string `json:"submissionId"`
	RollbackOf   uint64 `json:"rollbackOf,omitempty"`
}

func viewVersion(v *wire.Version) versionView {
	return versionView{
		Version: v.GetNumber(), Author: v.GetAuthor(), Reason: v.GetReason(), AcceptedAt: formatTime(v.GetAcceptedAt()),
		Digest: v.GetDigest(), SubmissionID: v.GetSubmissionId(), RollbackOf: v.GetRollbackOf(),
	}
}

// Run prints one version of the rules.
func (c *rulesCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	response, err := client.Read(ctx, c.Version)
	if err != nil {
		return errors.Wrap(err, "read rules")
	}
	v := response.GetVersion()
	if c.Version > 0 && v == nil {
		return errors.Errorf("there is no version %d (see \"snipebeam history\")", c.Version)
	}
	text := response.GetText()
	if c.Service != "" {
		text = serviceLines(text, c.Service)
	}
	out := g.out()
	if v == nil {
		out.Line("# no rules are in force yet (submit some with \"snipebeam submit\")")
	} else {
		out.Line("# version %d, by %s at %s: %s", v.GetNumber(), v.GetAuthor(), formatTime(v.GetAcceptedAt()), formatReason(v.GetReason()))
	}
	out.Text(text)
	err = out.Show(struct {
		versionView
		Text     string `json:"text"`
		Stale    bool   `json:"stale"`
		AsOf     string `json:"asOf"`
		ServedBy string `json:"servedBy"`
	}{viewVersion(v), text, response.GetStale(), formatTime(response.GetAsOf()), response.GetServedBy()}, nil)
	if err == nil && response.GetStale() {
		return newStaleError(response.GetAsOf())
	}
	return err
}

// serviceLines returns the rules of one service in canonical form.
func serviceLines(text, service string) string {
	set, _ := rule.Read("rules", text)
	lines := ""
	if line := set.Service(service); line != nil {
		lines = line.String() + "\n"
	}
	for _, r := range set.Routes(service) {
		lines += r.String() + "\n"
	}
	return lines
}
