package upstream

import (
	"context"
	"sync/atomic"
)

// queue holds requests until one of the slots is free, in order of arrival.
type queue struct {
	slots  chan struct{}
	inside atomic.Int64
}

func newQueue(slots int) *queue { return &queue{slots: make(chan struct{}, slots)} }

// Load returns the requests in slots and waiting.
func (q *queue) Load() int { return int(q.inside.Load()) }

// enter waits for a slot; leave must be called if it returns true.
func (q *queue) enter(ctx context.Context) bool {
	q.inside.Add(1)
	if ctx.Err() == nil {
		select {
		case q.slots <- struct{}{}:
			return true
		case <-ctx.Done():
		}
	}
	q.inside.Add(-1)
	return false
}

func (q *queue) leave() {
	<-q.slots
	q.inside.Add(-1)
}
