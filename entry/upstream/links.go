package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/link"
)

// links are the links to one instance.
type links struct {
	mu            sync.Mutex
	limit         int
	open          int     // idle, in use and being opened
	idle          []*Link // used last stands last
	inUse         map[*Link]struct{}
	waiting       []chan struct{}
	retiredBefore time.Time // links opened up to then are not used again
}

// take returns an idle link, or no link and no channel if the caller may open
// one, or a channel that is closed when it is worth another try.
func (s *links) take(now time.Time, maxIdle time.Duration) (*Link, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 && maxIdle > 0 {
		l := s.idle[len(s.idle)-1]
		if now.Sub(l.idleSince) > maxIdle {
			break
		}
		s.idle = s.idle[:len(s.idle)-1]
		if l.usable(now, maxIdle) {
			l.reused = true
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
	s.waiting = append(s.waiting, wait)
	return nil, wait
}

// use counts a link that was opened.
func (s *links) use(l *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[l] = struct{}{}
}

// give keeps a link for another request.
func (s *links) give(l *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, l)
	if !l.openedAt.After(s.retiredBefore) || s.open > s.limit {
		l.close()
		s.open--
	} else {
		l.idleSince = time.Now()
		s.idle = append(s.idle, l)
	}
	s.wake()
}

// drop counts a link that is closed or was never opened.
func (s *links) drop(l *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inUse, l)
	s.open--
	s.wake()
}

func (s *links) wake() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// leave ends a wait; a wake-up that came too late is passed on.
func (s *links) leave(wait chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := slices.Index(s.waiting, wait); n >= 0 {
		s.waiting = slices.Delete(s.waiting, n, n+1)
		return
	}
	s.wake()
}

// retire closes the idle links that are as old as a link that went silent, and
// keeps those in use from being used again.
func (s *links) retire(upTo time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if upTo.After(s.retiredBefore) {
		s.retiredBefore = upTo
	}
	s.idle = slices.DeleteFunc(s.idle, func(l *Link) bool {
		if l.openedAt.After(s.retiredBefore) {
			return false
		}
		l.close()
		s.open--
		return true
	})
	s.wake()
}

// closeSilent closes the links in use without a sign of life for too long and
// retires their siblings.
func (s *links) closeSilent(limit time.Duration) {
	for _, l := range s.silentOnes(limit) {
		l.silent.Store(true)
		l.close()
		s.retire(l.openedAt.Add(retirementMargin))
	}
}

func (s *links) silentOnes(limit time.Duration) []*Link {
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

// sweep closes links that were idle too long and reports whether none is left.
func (s *links) sweep(now time.Time, idleLimit time.Duration) bool {
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
	return s.open == 0 && len(s.waiting) == 0
}

// survivors returns how many idle links are kept and how many are still open.
func (s *links) survivors() (kept, quiet int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle {
		if link.Quiet(l.conn) {
			quiet++
		}
	}
	return len(s.idle), quiet
}
