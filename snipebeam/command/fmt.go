package command

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/rule"
)

type fmtCommand struct {
	Files []string `arg:"" help:"Rules files, - for standard input."`
	Check bool     `help:"Name files that are not in canonical form, change none, and exit with 5 if there are any."`
	Print bool     `help:"Write to standard output and change no file." short:"p"`
}

// Run rewrites the files; one that cannot be read stays as it is.
func (c *fmtCommand) Run(g *Globals) error {
	differs := false
	for _, path := range c.Files {
		changed, err := c.one(g, path)
		if err != nil {
			return err
		}
		differs = differs || changed
	}
	if c.Check && differs {
		return &DifferenceError{text: "not in canonical form (run \"snipebeam fmt\" on it)"}
	}
	return nil
}

func (c *fmtCommand) one(g *Globals, path string) (bool, error) {
	text, err := readFile(path)
	if err != nil {
		return false, err
	}
	formatted, findings := rule.Format(path, text)
	if err := findings.Err(); err != nil {
		return false, err
	}
	changed := formatted != text
	switch {
	case c.Print || path == "-" && !c.Check:
		g.out().Text(formatted)
	case changed && c.Check:
		g.out().Line("%s", path)
	case changed:
		return true, replace(path, formatted)
	}
	return changed, nil
}

// replace writes a file beside the old one and renames it, so that no half
// written file is left.
func replace(path, text string) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "write rules file")
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".snipebeam-fmt-*")
	if err != nil {
		return errors.Wrap(err, "write rules file")
	}
	_, err = file.WriteString(text)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(file.Name(), info.Mode().Perm())
	}
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name())
	}
	return errors.Wrap(err, "write rules file")
}
