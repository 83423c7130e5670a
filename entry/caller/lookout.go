package caller

import (
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
)

// lookDelays are the pauses between looks at an instance whose connection closed under a
// request. They outlast evidence.Settling.
var lookDelays = []time.Duration{
	2 * time.Millisecond, 8 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 2 * time.Second, 2 * time.Second,
}

// lookout looks again at instances whose connection closed under a request, until it is known
// whether they have ended or this host stops.
type lookout struct {
	h *Handler

	mu   sync.Mutex
	next map[string]int // of lookDelays, by incarnation of the instances that are watched
}

func newLookout(h *Handler) *lookout { return &lookout{h: h, next: map[string]int{}} }

// watch begins to look at an instance, or begins anew.
func (l *lookout) watch(target *instance.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, watched := l.next[target.Incarnated()]
	l.next[target.Incarnated()] = 0
	if !watched {
		l.schedule(target)
	}
}

// schedule schedules the next look, or ends the watch. The caller holds the lock.
func (l *lookout) schedule(target *instance.Instance) {
	n := l.next[target.Incarnated()]
	if n == len(lookDelays) {
		delete(l.next, target.Incarnated())
		return
	}
	l.next[target.Incarnated()]++
	time.AfterFunc(lookDelays[n], func() {
		if l.h.stop.ctx.Err() == nil && l.h.cfg.Suspects.Awaits(target.Incarnated()) {
			l.look(target)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.schedule(target)
	})
}

// look opens a connection only if none is idle.
func (l *lookout) look(target *instance.Instance) {
	ctx, cancel := l.h.reachabilityContext()
	defer cancel()
	pool, address := l.h.cfg.Pool, target.Address()
	if opened, open := pool.OldestOpen(address); open {
		l.h.cfg.Suspects.InstanceSurvived(target.Incarnated(), opened)
		return
	}
	if pool.Reachable(ctx, address) || l.h.stop.ended() {
		return
	}
	reaches, cancelReaches := l.h.reachabilityContext()
	defer cancelReaches()
	if !l.h.cfg.Reach.Reaches(reaches, address) {
		lossesInIsolation.Inc()
		return
	}
	l.h.cfg.Suspects.InstanceEnded(target.Incarnated())
}
