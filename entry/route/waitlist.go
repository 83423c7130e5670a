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
	held       pass
	arrivedAt  int64
	granted    func(*Ticket, error)

	key     int64 // the lowest one is next
	passed  int   // times that it was the oldest and another went first
	index   int   // in the heap
	element *list.Element
	waits   bool // in the list of requests with an aim
}

// Cancel ends the wait. It returns false if the waiter got its answer already.
func (w *Waiter) Cancel() bool {
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.element == nil && !w.waits {
		return false
	}
	d.remove(w)
	return true
}

// Constants of the order in which requests wait.
const (
	noDeadline      = 10 * time.Second       // stands for a missing deadline
	turnOfCaller    = 5 * time.Millisecond   // added for each request of the same caller that waits
	delayOfPriority = 200 * time.Millisecond // added for each step below the highest priority
)

// waitlist orders waiting requests by deadline, priority and the caller's
// share, and bounds how often the oldest one is passed over.
type waitlist struct {
	byKey    waiterHeap
	byAge    *list.List
	byCaller map[string]int
	bypass   int
}

func newWaitlist(bypass int) *waitlist {
	return &waitlist{byAge: list.New(), byCaller: map[string]int{}, bypass: bypass}
}

func (l *waitlist) len() int { return len(l.byKey) }

func (l *waitlist) oldest() *Waiter {
	front := l.byAge.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Waiter)
}

func (l *waitlist) push(w *Waiter) {
	w.key = l.keyOf(w)
	w.element = l.byAge.PushBack(w)
	l.byCaller[w.query.caller]++
	heap.Push(&l.byKey, w)
}

func (l *waitlist) keyOf(w *Waiter) int64 {
	key := w.query.deadline
	if key == 0 {
		key = w.arrivedAt + int64(noDeadline)
	}
	if terms := w.query.contract; terms != nil {
		key += int64(terms.Priority()-contract.PriorityHigh) * int64(delayOfPriority)
	}
	return key + int64(l.byCaller[w.query.caller])*int64(turnOfCaller)
}

// next returns the request whose turn it is; it stays in the list.
func (l *waitlist) next() *Waiter {
	first := l.oldest()
	if first.passed >= l.bypass {
		return first
	}
	return l.byKey[0]
}

// grant removes the request that goes first; an older one is passed over.
func (l *waitlist) grant(w *Waiter) {
	if oldest := l.oldest(); oldest != w {
		oldest.passed++
	}
	l.remove(w)
}

func (l *waitlist) remove(w *Waiter) {
	l.byAge.Remove(w.element)
	w.element = nil
	heap.Remove(&l.byKey, w.index)
	l.byCaller[w.query.caller]--
	if l.byCaller[w.query.caller] == 0 {
		delete(l.byCaller, w.query.caller)
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
