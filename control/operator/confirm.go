package operator

import (
	"context"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/control/agreement"
)

// confirmer coalesces concurrent confirmations by the quorum, because thousands
// of hosts may poll at the same time. A call that arrives while a confirmation
// is in progress waits for the next one: a confirmation covers only calls that
// arrived before it started.
type confirmer struct {
	log agreement.Log

	mu      sync.Mutex
	running bool
	next    *confirmation
}

// confirmation is one confirmation that several calls wait for.
type confirmation struct {
	startedAt time.Time
	err       error
	done      chan struct{}
}

func newConfirmer(log agreement.Log) *confirmer { return &confirmer{log: log} }

// confirm waits for a confirmation that starts after the call, and returns the
// time since its start.
func (c *confirmer) confirm(ctx context.Context) (age time.Duration, err error) {
	joined := c.join()
	select {
	case <-joined.done:
		return time.Since(joined.startedAt), joined.err
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

// run confirms until no call waits.
func (c *confirmer) run() {
	for {
		current := c.take()
		if current == nil {
			return
		}
		current.startedAt = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		current.err = c.log.Confirm(ctx)
		cancel()
		close(current.done)
	}
}

func (c *confirmer) take() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.next
	c.next = nil
	c.running = current != nil
	return current
}
