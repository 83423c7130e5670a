package fleet

import (
	"sync"
	"time"
)

// isolationInterval is the least time between two revisions of the isolations. Entry
// hosts that lose their instances together report it within it.
const isolationInterval = time.Second

// isolations counts when entry hosts reported that they reach no instance. Other hosts
// check themselves then, before callers are sent to them.
type isolations struct {
	mu       sync.Mutex
	revision uint64
	at       time.Time
	due      bool          // a revision follows at the end of the interval
	notify   chan struct{} // closed at the next revision
}

func newIsolations() isolations { return isolations{notify: make(chan struct{})} }

func (i *isolations) add(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if rest := isolationInterval - now.Sub(i.at); rest > 0 {
		if !i.due {
			i.due = true
			time.AfterFunc(rest, func() { i.revise(now.Add(rest)) })
		}
		return
	}
	i.next(now)
}

func (i *isolations) revise(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.due = false
	i.next(now)
}

// next begins a revision. The caller holds the lock.
func (i *isolations) next(now time.Time) {
	i.revision, i.at = i.revision+1, now
	close(i.notify)
	i.notify = make(chan struct{})
}

// Isolations returns a revision that rises when entry hosts report that they reach no
// instance, at most once an interval, and a channel that is closed when it does next.
func (f *Fleet) Isolations() (uint64, <-chan struct{}) {
	f.isolations.mu.Lock()
	defer f.isolations.mu.Unlock()
	return f.isolations.revision, f.isolations.notify
}
