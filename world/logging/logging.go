// Package logging builds the JSON-lines logger that all programs share. Each
// package logs under a name of its own, whose level can be changed while the
// program runs.
//
// Usage:
//
//	log := logging.New("snipebeam-entry", "info", os.Stderr)
//	log.Named("route").Info("decision", "instance", id)
//	err := logging.SetLevel(log, "route", "debug")
package logging

import (
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Levels returns the names of the levels, the most talkative first.
func Levels() []string { return []string{"trace", "debug", "info", "warn", "error"} }

// New returns a logger that writes one JSON object a line.
func New(program, level string, w io.Writer) hclog.Logger {
	inner := hclog.New(&hclog.LoggerOptions{
		Name:              program,
		Level:             hclog.LevelFromString(level),
		Output:            w,
		JSONFormat:        true,
		TimeFormat:        "2006-01-02T15:04:05.000000Z07:00",
		IndependentLevels: true,
	})
	return &logger{Logger: inner, registry: &registry{loggers: map[string][]hclog.Logger{"": {inner}}}}
}

// registry remembers the loggers of a program by the name of their package.
type registry struct {
	mu      sync.Mutex
	loggers map[string][]hclog.Logger
}

// logger registers each logger that is derived from it.
type logger struct {
	hclog.Logger
	name     string
	registry *registry
}

func (l *logger) register(name string, inner hclog.Logger) hclog.Logger {
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	l.registry.loggers[name] = append(l.registry.loggers[name], inner)
	return &logger{Logger: inner, name: name, registry: l.registry}
}

// Named returns the logger of a package.
func (l *logger) Named(name string) hclog.Logger {
	full := strings.TrimPrefix(l.name+"."+name, ".")
	return l.register(full, l.Logger.Named(name))
}

// SetLevel changes the level of one package while the program runs, or of all
// of them if the name is empty.
func SetLevel(log hclog.Logger, name, level string) error {
	wanted := hclog.LevelFromString(level)
	if wanted == hclog.NoLevel || wanted == hclog.Off {
		return errors.Errorf("there is no level %q; it is one of %s", level, strings.Join(Levels(), ", "))
	}
	l, ok := log.(*logger)
	if !ok {
		log.SetLevel(wanted)
		return nil
	}
	return l.registry.set(name, wanted)
}

func (f *registry) set(name string, level hclog.Level) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name != "" && f.loggers[name] == nil {
		return errors.Errorf("no package logs as %q; there are %s", name, strings.Join(f.names(), ", "))
	}
	for member, loggers := range f.loggers {
		if name != "" && member != name {
			continue
		}
		for _, one := range loggers {
			one.SetLevel(level)
		}
	}
	return nil
}

func (f *registry) names() []string {
	var all []string
	for name := range f.loggers {
		if name != "" {
			all = append(all, name)
		}
	}
	sort.Strings(all)
	return all
}
