// Package logging creates the logger that all programs use, which writes one
// JSON object per line. Each package has a named logger, whose level can be
// changed at run time.
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

// Levels returns the names of the levels, the most verbose first.
func Levels() []string { return []string{"trace", "debug", "info", "warn", "error"} }

// New returns the root logger of a program, which writes one JSON object per
// line.
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

// registry holds all loggers of a program by package name. The root logger has
// the empty name.
type registry struct {
	mu      sync.Mutex
	loggers map[string][]hclog.Logger
}

// logger adds each logger derived from it to the registry.
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

// Named returns a new logger for a package and registers it under that name.
func (l *logger) Named(name string) hclog.Logger {
	full := strings.TrimPrefix(l.name+"."+name, ".")
	return l.register(full, l.Logger.Named(name))
}

// SetLevel changes the level of one package's loggers at run time, or of all
// loggers if the name is empty.
func SetLevel(log hclog.Logger, name, level string) error {
	parsed := hclog.LevelFromString(level)
	if parsed == hclog.NoLevel || parsed == hclog.Off {
		return errors.Errorf("unknown log level %q, want one of %s", level, strings.Join(Levels(), ", "))
	}
	l, ok := log.(*logger)
	if !ok {
		log.SetLevel(parsed)
		return nil
	}
	return l.registry.set(name, parsed)
}

func (r *registry) set(name string, level hclog.Level) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name != "" && r.loggers[name] == nil {
		return errors.Errorf("no logger named %q, have %s", name, strings.Join(r.names(), ", "))
	}
	for registered, loggers := range r.loggers {
		if name != "" && registered != name {
			continue
		}
		for _, log := range loggers {
			log.SetLevel(level)
		}
	}
	return nil
}

func (r *registry) names() []string {
	var all []string
	for name := range r.loggers {
		if name != "" {
			all = append(all, name)
		}
	}
	sort.Strings(all)
	return all
}
