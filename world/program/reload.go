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

// settingsInterval is how often a settings file is checked for changes, since it
// may change without a signal.
const settingsInterval = 2 * time.Second

// WatchSettings calls a function on SIGHUP and every settingsInterval until the
// context is done. The function itself checks whether anything has changed.
func WatchSettings(ctx context.Context, reload func()) {
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
		reload()
	}
}

// Reloader returns a function that loads settings whose file has changed. The
// function returns nil if the file has not changed or its settings have errors;
// errors are logged.
func Reloader[T any](path string, load func(path string) (*T, finding.List), logger hclog.Logger) func() *T {
	detector := NewChangeDetector(path)
	return func() *T {
		if !detector.Changed() {
			return nil
		}
		next, findings := load(path)
		if err := findings.Err(); err != nil {
			logger.Error("settings have errors, previous settings stay in force", "error", err)
			return nil
		}
		return next
	}
}

// ChangeDetector detects changes of a file by its size and modification time.
type ChangeDetector struct {
	path    string
	size    int64
	modTime time.Time
}

// NewChangeDetector returns a detector that starts from the current state of a
// file.
func NewChangeDetector(path string) *ChangeDetector {
	d := &ChangeDetector{path: path}
	d.Changed()
	return d
}

// Changed reports whether the file has changed since the last call. A file that
// does not exist or cannot be read counts as unchanged.
func (d *ChangeDetector) Changed() bool {
	info, err := os.Stat(d.path)
	if err != nil {
		return false
	}
	changed := info.Size() != d.size || !info.ModTime().Equal(d.modTime)
	d.size, d.modTime = info.Size(), info.ModTime()
	return changed
}
