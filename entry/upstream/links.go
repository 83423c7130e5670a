package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/link"
)

// instanceLinks is the link pool of one instance.
type instanceLinks struct {
	mu          sync.Mutex
	limit       int
	open        int     // idle, in use or being opened
	idle        []*Link // least recently used first
	inUse       map[*Link]struct{}
	waiters     []chan struct{}
	retiredUpTo time.Time // links opened up to this time are not reused
}

// get returns an idle link if there is a usable one. If it returns neither a
// link nor a channel, a slot is reserved and the calling code opens a new link.
// Otherwise the limit is reached and the channel is closed when a retry may
// succeed. Links that were idle for longer than the limit are closed; those that were
// idle for longer than maxIdle are left to other requests.
func (s *instanceLinks) get(now time.Time, maxIdle, limit time.Duration) (*Link, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) > limit {
		s.idle[0].close()
		s.idle = slices.Delete(s.idle, 0, 1)
		s.open--
	}
	for len(s.idle) > 0 && maxIdle > 0 {
		l := s.idle[len(s.idle)-1]
		if now.Sub(l.idleSince) > maxIdle {
			break
		}
		s.idle = s.idle[:len(s.idle)-1]
		if l.usable(now, maxIdle) {
			l.reused, l.reusedAfter = true, now.Sub(l.idleSince)
			s.inUse[l] = struct{}{}
			return l, nil
		}
		l.close()
		s.open--
	}
	if s.open < s.limit {
		s.open++
		return nil, nil
	}
	if len(s.idle) > 0 {
		s.idle[0].close()
		s.idle = slices.Delete(s.idle, 0, 1)
		return nil, nil
	}
	wait := make(chan struct{})
	s.waiters = append(s.waiters, wait)
	return nil, wait
}

// add registers a newly opened link as in use.
func (s *instanceLinks) add(l *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[l] = struct{}{}
}

// put returns a link to the pool for reuse.
func (s *instanceLinks) put(l *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, l)
	if !l.openedAt.After(s.retiredUpTo) || s.open > s.limit {
		l.close()
		s.open--
	} else {
		l.idleSince = time.Now()
		s.idle = append(s.idle, l)
	}
	s.wakeOne()
}

// giveBack returns a link on which nothing was sent. It stays as long idle as it was.
func (s *instanceLinks) giveBack(l *Link) {
	if l.idleSince.IsZero() { // just opened
		s.put(l)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, l)
	if !l.openedAt.After(s.retiredUpTo) {
		l.close()
		s.open--
	} else {
		at, _ := slices.BinarySearchFunc(s.idle, l, func(a, b *Link) int { return a.idleSince.Compare(b.idleSince) })
		s.idle = slices.Insert(s.idle, at, l)
	}
	s.wakeOne()
}

// remove releases the slot of a link that was closed or could not be opened.
func (s *instanceLinks) remove(l *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, l)
	s.open--
	s.wakeOne()
}

func (s *instanceLinks) wakeOne() {
	if len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
	}
}

// cancelWait removes a waiter. If it was already woken, the next waiter is woken
// in its place so that the wake-up is not lost.
func (s *instanceLinks) cancelWait(wait chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := slices.Index(s.waiters, wait); n >= 0 {
		s.waiters = slices.Delete(s.waiters, n, n+1)
		return
	}
	s.wakeOne()
}

// retire closes the idle links opened up to the given time and prevents those in
// use from being reused.
func (s *instanceLinks) retire(upTo time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if upTo.After(s.retiredUpTo) {
		s.retiredUpTo = upTo
	}
	s.idle = slices.DeleteFunc(s.idle, func(l *Link) bool {
		if l.openedAt.After(s.retiredUpTo) {
			return false
		}
		l.close()
		s.open--
		return true
	})
	s.wakeOne()
}

// closeIdleSince closes the links that have been idle since the given time or longer.
func (s *instanceLinks) closeIdleSince(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 && !s.idle[0].idleSince.After(since) {
		s.idle[0].close()
		s.idle = slices.Delete(s.idle, 0, 1)
		s.open--
		s.wakeOne()
	}
}

// closeSilent closes the links in use that exceed the silent limit and retires
// the links that are at least as old.
func (s *instanceLinks) closeSilent(limit time.Duration) {
	for _, l := range s.silentLinks(limit) {
		l.silent.Store(true)
		l.abort()
		s.retire(l.openedAt.Add(retirementMargin))
	}
}

func (s *instanceLinks) silentLinks(limit time.Duration) []*Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []*Link
	for l := range s.inUse {
		if link.SilentFor(l.conn) > limit {
			silent = append(silent, l)
		}
	}
	return silent
}

// sweep closes idle links that exceed the idle limit or are no longer open, and
// reports whether the pool is empty.
func (s *instanceLinks) sweep(now time.Time, idleLimit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = slices.DeleteFunc(s.idle, func(l *Link) bool {
		if l.usable(now, idleLimit) {
			return false
		}
		l.close()
		s.open--
		return true
	})
	return s.open == 0 && len(s.waiters) == 0
}

// oldestOpen returns when the oldest idle link was opened that is still open.
func (s *instanceLinks) oldestOpen() (opened time.Time, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle {
		if (!open || l.openedAt.Before(opened)) && link.Reusable(l.conn) {
			opened, open = l.openedAt, true
		}
	}
	return opened, open
}
