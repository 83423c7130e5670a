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
	last    time.Time // start of the last confirmation that succeeded
}

// reuseFor is how long a confirmation also covers long polls that began before it. Each
// one costs a round of messages between all control hosts.
const reuseFor = 250 * time.Millisecond

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

// confirmSince is confirm for a call that began earlier: a recent confirmation that started
// after it is as good as a new one.
func (c *confirmer) confirmSince(ctx context.Context, began time.Time) (age time.Duration, err error) {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if age = time.Since(last); last.After(began) && age < reuseFor {
		return age, nil
	}
	return c.confirm(ctx)
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
		c.finish(current)
	}
}

func (c *confirmer) finish(current *confirmation) {
	if current.err == nil {
		c.mu.Lock()
		c.last = current.startedAt
		c.mu.Unlock()
	}
	close(current.done)
}

func (c *confirmer) take() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.next
	c.next = nil
	c.running = current != nil
	return current
}
