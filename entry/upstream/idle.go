package upstream

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	minIdle     = 10 * time.Millisecond // shortest idle time that a limit can have
	idleClasses = 12                    // of idle times, each twice as long as the one before
	// evidenceDecay is the time constant of the decay of what is known of a class, and the
	// time after which a limit ends unless it is confirmed.
	evidenceDecay = 10 * time.Second
	minClosed     = 1.5 // closed links from which on a class has a limit
	closedRatio   = 2.0 // of closed links to those that were reused
)

// idleLimit is the idle time up to which links are reused. It follows what instances do,
// some of which close idle links early and without notice: links that have been idle for so
// long that most of them were closed are not used.
type idleLimit struct {
	most    time.Duration
	current atomic.Pointer[idleCut]

	mu      sync.Mutex
	at      time.Time
	closed  [idleClasses]float64
	working [idleClasses]float64
}

type idleCut struct {
	limit time.Duration
	until time.Time
}

// get returns the limit at a time.
func (l *idleLimit) get(now time.Time) time.Duration {
	cut := l.current.Load()
	if cut == nil || now.After(cut.until) {
		return l.most
	}
	return min(cut.limit, l.most)
}

// idleClass returns the class of an idle time.
func idleClass(idle time.Duration) int {
	return min(bits.Len64(uint64(idle/minIdle)), idleClasses-1)
}

// record records that a link was reused after an idle time, or that the instance had
// closed it.
func (l *idleLimit) record(idle time.Duration, closed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := math.Exp(-float64(now.Sub(l.at)) / float64(evidenceDecay))
	for n := range idleClasses {
		l.closed[n] *= remaining
		l.working[n] *= remaining
	}
	l.at = now
	if !closed {
		l.working[idleClass(idle)]++
		return
	}
	l.closed[idleClass(idle)]++
	if limit := l.shortestClosed(); limit < l.most {
		l.current.Store(&idleCut{limit: limit, until: now.Add(evidenceDecay)})
	}
}

// shortestClosed returns the shortest idle time from which on most links were closed.
func (l *idleLimit) shortestClosed() time.Duration {
	limit, closed, working := l.most, 0.0, 0.0
	for n := idleClasses - 1; n > 0; n-- {
		closed += l.closed[n]
		working += l.working[n]
		if l.closed[n] > 0 && closed >= minClosed && closed > closedRatio*working {
			limit = minIdle << (n - 1)
		}
	}
	return limit
}
