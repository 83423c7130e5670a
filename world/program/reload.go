package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsInterval is how often a settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// FollowSettings calls a function on SIGHUP, and now and then without one,
// until the context ends. The function finds out whether anything changed.
func FollowSettings(ctx context.Context, read func()) {
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

// FileChange tells whether a file changed since it was last asked.
type FileChange struct {
	path string
	size int64
	at   time.Time
}

// NewFileChange returns the state of a file now.
func NewFileChange(path string) *FileChange {
	c := &FileChange{path: path}
	c.Changed()
	return c
}

// Changed reports whether size or time of the file are other than before. A
// file that cannot be seen has not changed.
func (c *FileChange) Changed() bool {
	info, err := os.Stat(c.path)
	if err != nil {
		return false
	}
	changed := info.Size() != c.size || !info.ModTime().Equal(c.at)
	c.size, c.at = info.Size(), info.ModTime()
	return changed
}
