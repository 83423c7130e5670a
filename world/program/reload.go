package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/world/finding"
)

// settingsInterval is how often a settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// WatchSettings calls a function on SIGHUP, and now and then without one,
// until the context ends. The function finds out whether anything changed.
func WatchSettings(ctx context.Context, read func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
		}
		read()
	}
}

// Reloader returns a function that reads changed settings again: nil if their
// file has not changed, or cannot be used.
func Reloader[T any](path string, load func(path string) (*T, finding.List), logger hclog.Logger) func() *T {
	change := NewChangeDetector(path)
	return func() *T {
		if !change.Changed() {
			return nil
		}
		next, findings := load(path)
		if err := findings.Err(); err != nil {
			logger.Error("the settings cannot be used, the last ones hold", "error", err)
			return nil
		}
		return next
	}
}

// ChangeDetector tells whether a file changed since it was last asked.
type ChangeDetector struct {
	path string
	size int64
	at   time.Time
}

// NewChangeDetector returns the state of a file now.
func NewChangeDetector(path string) *ChangeDetector {
	c := &ChangeDetector{path: path}
	c.Changed()
	return c
}

// Changed reports whether size or time of the file are other than before. A
// file that cannot be seen has not changed.
func (c *ChangeDetector) Changed() bool {
	info, err := os.Stat(c.path)
	if err != nil {
		return false
	}
	changed := info.Size() != c.size || !info.ModTime().Equal(c.at)
	c.size, c.at = info.Size(), info.ModTime()
	return changed
}
