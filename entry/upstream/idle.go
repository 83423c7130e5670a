package upstream

import (
	"sync/atomic"
	"time"
)

const (
	// idleCutPart is the part of the idle time at which an instance had closed a link
	// that links may be idle from then on.
	idleCutPart = 0.5
	minIdle     = 10 * time.Millisecond
	// idleDoubling is the time in which the limit doubles again.
	idleDoubling = 5 * time.Second
)

// idleLimit is the idle time up to which links are reused. It follows what instances do,
// some of which close idle links early and without notice.
type idleLimit struct {
	most    time.Duration
	current atomic.Pointer[idleCut]
}

type idleCut struct {
	limit time.Duration
	at    time.Time
}

// get returns the limit at a time.
func (l *idleLimit) get(now time.Time) time.Duration {
	cut := l.current.Load()
	if cut == nil {
		return l.most
	}
	limit := cut.limit
	for elapsed := now.Sub(cut.at); elapsed >= idleDoubling && limit < l.most; elapsed -= idleDoubling {
		limit *= 2
	}
	return min(limit, l.most)
}

// foundClosed lowers the limit after a link that had been idle for so long was closed by
// the instance when a request was sent on it.
func (l *idleLimit) foundClosed(idle time.Duration, now time.Time) {
	for {
		old := l.current.Load()
		limit := max(min(l.get(now), time.Duration(idleCutPart*float64(idle))), minIdle)
		if l.current.CompareAndSwap(old, &idleCut{limit: limit, at: now}) {
			return
		}
	}
}
