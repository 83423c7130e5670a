package backlog

import (
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
)

// Request is one request from its arrival to its completion. It is in exactly
// one list of its service at a time.
type Request struct {
	service      *serviceTracker
	id           string
	phase        Phase
	arrivedAt    time.Time
	responseTime time.Duration // time to first byte, 0 until the response starts
	instance     *instanceTracker
	list         *requestList
	next         *Request
	previous     *Request
}

// SetID sets the ID by which the request is reported.
func (r *Request) SetID(id string) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.id = id
}

// Dispatched records that the request is sent to an instance.
func (r *Request) Dispatched(id instance.ID, _ time.Time) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.list == nil {
		return
	}
	r.detachInstance()
	r.instance = r.service.instance(id)
	r.instance.stats.arrive()
	r.phase = Receiving
	r.moveTo(&r.service.transferring)
}

// Sent records that the request is fully written and awaits a response.
func (r *Request) Sent(_ time.Time) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.list == nil || r.instance == nil {
		return
	}
	if r.phase == Receiving {
		r.phase = Awaiting
	}
	if r.responseTime > 0 {
		return
	}
	r.moveTo(&r.instance.awaiting)
}

// ResponseStarted records the first byte of the response.
func (r *Request) ResponseStarted(now time.Time) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.list == nil {
		return
	}
	r.responseTime = max(now.Sub(r.arrivedAt), 1)
	r.phase = Responding
	r.moveTo(&r.service.transferring)
}

// Requeue records that the request waits for another instance.
func (r *Request) Requeue(_ time.Time) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.list == nil {
		return
	}
	r.detachInstance()
	r.phase = Queued
	r.moveTo(&r.service.queued)
}

// AddBodyBytes counts n bytes of the request or response body. Bytes of bulk
// requests, which have large bodies, are counted separately.
func (r *Request) AddBodyBytes(n int, bulk bool) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if bulk {
		r.service.stats.bulkBytes += uint64(n)
		return
	}
	r.service.stats.bytes += uint64(n)
}

// End records the completion of the request. It is idempotent.
func (r *Request) End(failed bool, now time.Time) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if r.list == nil {
		return
	}
	r.detachInstance()
	r.list.remove(r)
	r.service.stats.complete(failed)
	if r.responseTime == 0 {
		r.responseTime = now.Sub(r.arrivedAt)
	}
	r.service.latency.record(r.responseTime)
}

func (r *Request) detachInstance() {
	if r.instance == nil {
		return
	}
	r.instance.stats.complete(false)
	r.instance = nil
}

func (r *Request) moveTo(list *requestList) {
	if r.list != nil {
		r.list.remove(r)
	}
	list.add(r)
}

// requestList is a doubly linked list of requests in insertion order.
type requestList struct {
	first *Request
	last  *Request
	n     int
}

func (l *requestList) add(r *Request) {
	r.list, r.previous, r.next = l, l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	l.n++
}

func (l *requestList) remove(r *Request) {
	if r.previous == nil {
		l.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		l.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.list, r.previous, r.next = nil, nil, nil
	l.n--
}

// age returns how long ago the first request of the list arrived at this host.
func (l *requestList) age(now time.Time) time.Duration {
	if l.first == nil {
		return 0
	}
	return max(now.Sub(l.first.arrivedAt), 0)
}
