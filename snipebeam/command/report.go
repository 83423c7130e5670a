package command

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/report"
)

type reportCommand struct {
	Logs    []string  `arg:"" help:"Log files of entry hosts." type:"existingfile"`
	From    time.Time `help:"Start of the time span (RFC 3339); all by default."`
	To      time.Time `help:"End of the time span (RFC 3339)."`
	Service string    `help:"Service to show; all by default."`
	Out     string    `help:"HTML file to write." default:"report.html"`
}

// Run reads the logs and writes one HTML page.
func (c *reportCommand) Run() error {
	history := report.NewHistory(c.From, c.To, c.Service)
	for _, path := range c.Logs {
		if err := readLog(history, path); err != nil {
			return err
		}
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := history.WritePage(out); err != nil {
		_ = out.Close()
		_ = os.Remove(c.Out)
		return err
	}
	return errors.Wrap(out.Close(), "write report")
}

func readLog(history *report.History, path string) error {
	in, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = in.Close() }()
	return errors.Wrap(history.Read(in), path)
}
