package upstream

import (
	"context"
	"sync/atomic"
)

// queue admits requests to a fixed number of slots in order of arrival.
type queue struct {
	slots    chan struct{}
	inFlight atomic.Int64
}

func newQueue(slots int) *queue { return &queue{slots: make(chan struct{}, slots)} }

// Load returns the number of requests that run or wait.
func (q *queue) Load() int { return int(q.inFlight.Load()) }

// acquire waits for a slot; release must be called if it returns true.
func (q *queue) acquire(ctx context.Context) bool {
	q.inFlight.Add(1)
	if ctx.Err() == nil {
		select {
		case q.slots <- struct{}{}:
			return true
		case <-ctx.Done():
		}
	}
	q.inFlight.Add(-1)
	return false
}

func (q *queue) release() {
	<-q.slots
	q.inFlight.Add(-1)
}
