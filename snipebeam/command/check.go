package command

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/rule"
)

type checkCommand struct {
	File   string `arg:"" help:"Rules file, - for standard input." predictor:"file"`
	Strict bool   `help:"Take warnings for errors."`
}

// findingView is a finding in JSON.
type findingView struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Severity string `json:"severity"`
	Text     string `json:"text"`
	Hint     string `json:"hint,omitempty"`
}

// Run prints every finding, and fails if one of them is an error.
func (c *checkCommand) Run(g *Globals) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	set, findings := rule.Parse(c.File, text)
	all := findings.All()
	if c.Strict {
		findings = warningsAsErrors(all)
	}
	out := g.out()
	if err := showFindings(out, all); err != nil {
		return err
	}
	if findings.HasErrors() {
		return errors.Wrap(findings.Summary(), c.File)
	}
	out.Line("%s: %d services, no errors", c.File, len(set.Services()))
	return nil
}

func showFindings(out *terminal.Output, all []finding.Finding) error {
	views := make([]findingView, 0, len(all))
	for _, f := range all {
		out.Line("%s", f)
		views = append(views, findingView{
			File: f.Place().File(), Line: f.Place().Line(), Column: f.Place().Column(),
			Severity: f.Severity().String(), Text: f.Text(), Hint: f.Hint(),
		})
	}
	return out.Show(views, nil)
}

// warningsAsErrors returns the findings with every severity raised to error.
func warningsAsErrors(all []finding.Finding) finding.List {
	var list finding.List
	for _, f := range all {
		list.Add(finding.Error, f.Place(), f.Text(), f.Hint())
	}
	return list
}

// readFile reads a rules file, or standard input. It reads at most one byte more
// than the maximum size, so that the parser rejects a larger file.
func readFile(path string) (string, error) {
	file := os.Stdin
	if path != "-" {
		opened, err := os.Open(path)
		if err != nil {
			return "", errors.Wrap(err, "read rules file")
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	data, err := io.ReadAll(io.LimitReader(file, rule.MaxFileBytes+1))
	return string(data), errors.Wrap(err, "read rules file")
}
