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
	next    *confirmation
}

// confirmation is one confirmation that several wait for.
type confirmation struct {
	startedAt time.Time
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
		return time.Since(q.startedAt), q.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (c *confirmer) join() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
		if !c.running {
			c.running = true
			go c.run()
		}
	}
	return c.next
}

// run asks until nobody waits.
func (c *confirmer) run() {
	for {
		q := c.take()
		if q == nil {
			return
		}
		q.startedAt = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		q.err = c.log.Confirm(ctx)
		cancel()
		close(q.done)
	}
}

func (c *confirmer) take() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.next
	c.next = nil
	c.running = q != nil
	return q
}
