// Package logging builds the JSON-lines logger that all programs share. Each
// package logs under a name of its own, whose level can be changed while the
// program runs.
//
// Usage:
//
//	log := logging.New("snipebeam-entry", "info", os.Stderr)
//	log.Named("route").Info("decision", "instance", id)
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// New returns a logger that writes one JSON object a line.
func New(program, level string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:              program,
		Level:             hclog.LevelFromString(level),
		Output:            w,
		JSONFormat:        true,
		TimeFormat:        "2006-01-02T15:04:05.000000Z07:00",
		IndependentLevels: true,
	})
}
