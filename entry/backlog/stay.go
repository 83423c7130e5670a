package backlog

import (
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
)

// Request is one request from its arrival to its end. It stands in exactly one
// list of its account at a time.
type Request struct {
	account   *account
	arrivedAt time.Time
	answered  time.Duration // time to the first byte of the answer, 0 before it
	target    *instanceAccount
	list      *stayList
	next      *Request
	previous  *Request
}

// Dispatched records that the request went to an instance.
func (s *Request) Dispatched(id instance.ID, _ time.Time) {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	if s.list == nil {
		return
	}
	s.leaveInstance()
	s.target = s.account.instance(id)
	s.target.ledger.arrive()
	s.moveTo(&s.account.moving)
}

// Sent records that the whole request is written and an answer is awaited.
func (s *Request) Sent(_ time.Time) {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	if s.list == nil || s.target == nil || s.answered > 0 {
		return
	}
	s.moveTo(&s.target.awaiting)
}

// ResponseStarted records that the answer has begun.
func (s *Request) ResponseStarted(now time.Time) {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	if s.list == nil {
		return
	}
	s.answered = max(now.Sub(s.arrivedAt), 1)
	s.moveTo(&s.account.moving)
}

// Requeue records that the request waits for another instance.
func (s *Request) Requeue(_ time.Time) {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	if s.list == nil {
		return
	}
	s.leaveInstance()
	s.moveTo(&s.account.queued)
}

// AddBodyBytes counts bytes of the body of a request, or of its answer, that has large
// bodies or not.
func (s *Request) AddBodyBytes(n int, bulk bool) {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	if bulk {
		s.account.whole.bulk += uint64(n)
		return
	}
	s.account.whole.bytes += uint64(n)
}

// End records the request's end. Later calls do nothing.
func (s *Request) End(failed bool, now time.Time) {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	if s.list == nil {
		return
	}
	s.leaveInstance()
	s.list.remove(s)
	s.account.whole.complete(failed)
	if s.answered == 0 {
		s.answered = now.Sub(s.arrivedAt)
	}
	s.account.latency.record(s.answered)
}

func (s *Request) leaveInstance() {
	if s.target == nil {
		return
	}
	s.target.ledger.complete(false)
	s.target = nil
}

func (s *Request) moveTo(list *stayList) {
	if s.list != nil {
		s.list.remove(s)
	}
	list.add(s)
}

// stayList keeps stays in order of arrival at the list.
type stayList struct {
	first *Request
	last  *Request
	n     int
}

func (l *stayList) add(s *Request) {
	s.list, s.previous, s.next = l, l.last, nil
	if l.last == nil {
		l.first = s
	} else {
		l.last.next = s
	}
	l.last = s
	l.n++
}

func (l *stayList) remove(s *Request) {
	if s.previous == nil {
		l.first = s.next
	} else {
		s.previous.next = s.next
	}
	if s.next == nil {
		l.last = s.previous
	} else {
		s.next.previous = s.previous
	}
	s.list, s.previous, s.next = nil, nil, nil
	l.n--
}

// age returns how long ago the first stay of the list arrived at the host.
func (l *stayList) age(now time.Time) time.Duration {
	if l.first == nil {
		return 0
	}
	return max(now.Sub(l.first.arrivedAt), 0)
}
