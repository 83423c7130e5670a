package route

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// Waiter is a request that waits for an instance.
type Waiter struct {
	dispatcher *Dispatcher
	query      Query
	permit     permit
	arrivedAt  int64
	granted    func(*Ticket, error)

	key         int64 // the lowest one is served next
	bypassed    int   // times that another was served while it was the oldest
	index       int   // in the heap
	element     *list.Element
	inSoftQueue bool // in the soft-deadline queue
}

// Cancel ends the wait. It returns false if the waiter was already granted or
// rejected.
func (w *Waiter) Cancel() bool {
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.element == nil && !w.inSoftQueue {
		return false
	}
	d.remove(w)
	return true
}

// Constants of the queue order.
const (
	defaultDeadline = 10 * time.Second       // assumed for a request without a deadline
	callerDelay     = 5 * time.Millisecond   // added for each waiting request of the same caller, for fairness
	priorityDelay   = 200 * time.Millisecond // added for each step below the highest priority
)

// requestQueue orders waiting requests by deadline, priority and the caller's number
// of waiting requests, and bounds how often the oldest one is bypassed.
type requestQueue struct {
	byKey     waiterHeap
	byAge     *list.List
	byCaller  map[string]int
	maxBypass int
}

func newRequestQueue(maxBypass int) *requestQueue {
	return &requestQueue{byAge: list.New(), byCaller: map[string]int{}, maxBypass: maxBypass}
}

func (q *requestQueue) len() int { return len(q.byKey) }

func (q *requestQueue) oldest() *Waiter {
	front := q.byAge.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Waiter)
}

func (q *requestQueue) push(w *Waiter) {
	w.key = q.sortKey(w)
	w.element = q.byAge.PushBack(w)
	q.byCaller[w.query.caller]++
	heap.Push(&q.byKey, w)
}

func (q *requestQueue) sortKey(w *Waiter) int64 {
	key := w.query.deadline
	if key == 0 {
		key = w.arrivedAt + int64(defaultDeadline)
	}
	if w.query.contract != nil {
		key += int64(w.query.rank().route-contract.PriorityHigh) * int64(priorityDelay)
	}
	return key + int64(q.byCaller[w.query.caller])*int64(callerDelay)
}

// next returns the request to serve next, without removing it.
func (q *requestQueue) next() *Waiter {
	first := q.oldest()
	if first.bypassed >= q.maxBypass {
		return first
	}
	return q.byKey[0]
}

// dequeue removes the request that is served; the oldest one, if another, counts as
// bypassed.
func (q *requestQueue) dequeue(w *Waiter) {
	if oldest := q.oldest(); oldest != w {
		oldest.bypassed++
	}
	q.remove(w)
}

func (q *requestQueue) remove(w *Waiter) {
	q.byAge.Remove(w.element)
	w.element = nil
	heap.Remove(&q.byKey, w.index)
	q.byCaller[w.query.caller]--
	if q.byCaller[w.query.caller] == 0 {
		delete(q.byCaller, w.query.caller)
	}
}

type waiterHeap []*Waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].key < h[j].key }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a waiter at the end.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
