package operator

import (
	"context"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/control/agreement"
)

// confirmer asks the quorum once for all who wait: thousands of hosts may poll
// at the same time. Whoever asks while a question is out waits for the next
// one, since only a question that is asked later speaks for them.
type confirmer struct {
	log agreement.Log

	mu      sync.Mutex
	running bool
	next    *question
}

// question is one confirmation that several wait for.
type question struct {
	askedAt time.Time
	err     error
	done    chan struct{}
}

func newConfirmer(log agreement.Log) *confirmer { return &confirmer{log: log} }

// confirm returns how long ago a confirmation was asked for, which is after
// the call.
func (c *confirmer) confirm(ctx context.Context) (age time.Duration, err error) {
	q := c.join()
	select {
	case <-q.done:
		return time.Since(q.askedAt), q.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (c *confirmer) join() *question {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &question{done: make(chan struct{})}
		if !c.running {
			c.running = true
			go c.ask()
		}
	}
	return c.next
}

// ask asks until nobody waits.
func (c *confirmer) ask() {
	for {
		q := c.take()
		if q == nil {
			return
		}
		q.askedAt = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), confirmLimit)
		q.err = c.log.Confirm(ctx)
		cancel()
		close(q.done)
	}
}

func (c *confirmer) take() *question {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.next
	c.next = nil
	c.running = q != nil
	return q
}
