package intake

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Reason is why a connection was closed or a request refused.
type Reason string

// Reasons that are counted.
const (
	OutOfMemory      Reason = "memory"      // the budget for memory is spent
	OutOfConnections Reason = "connections" // there are too many connections
	SlowHead         Reason = "slow-head"
	SlowBody         Reason = "slow-body"
	ManyLines        Reason = "header-lines"
	ManyBytes        Reason = "header-bytes"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{OutOfMemory, OutOfConnections, SlowHead, SlowBody, ManyLines, ManyBytes}
}

// closeWait bounds how long a connection waits for others, which have been told to close,
// to return what they hold. A handler may take longer to end than its connection.
const closeWait = 500 * time.Millisecond

var errClosed = errors.New("connection closed to free memory")

// Budget is the memory and the connections of one process. All listeners share it.
type Budget struct {
	observe func(Reason)

	mu     sync.Mutex
	ledger *Ledger
	freed  chan struct{} // closed when something is returned, nil if nobody waits
}

// Option changes one property of a budget.
type Option func(*Budget)

// WithObserver sets a function that is called for each connection that is closed and each
// request that is refused.
func WithObserver(observe func(Reason)) Option { return func(b *Budget) { b.observe = observe } }

// NewBudget returns a budget. A limit of 0 means none.
func NewBudget(maxBytes int64, maxConnections int, opts ...Option) *Budget {
	b := &Budget{observe: func(Reason) {}, ledger: NewLedger(maxBytes, maxConnections)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Held returns the bytes that are charged and the number of connections.
func (b *Budget) Held() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Held()
}

// open adds a connection, whose close function must not block. It does not wait for
// others, because all new connections would wait with it.
func (b *Budget) open(base int64, closeConn func()) *Account {
	a := &Account{base: base, close: closeConn}
	b.add(a)
	return a
}

func (b *Budget) add(a *Account) {
	b.mu.Lock()
	surplus := b.ledger.Open(a)
	larger := b.ledger.Charge(a, a.base)
	b.mu.Unlock()
	b.closeAll(surplus, OutOfConnections)
	b.closeAll(larger, OutOfMemory)
}

// charge charges bytes before they are kept. It waits for connections that were told to
// close, and fails if the account's own was.
func (b *Budget) charge(a *Account, bytes int64) error {
	if bytes == 0 {
		return nil
	}
	b.mu.Lock()
	victims := b.ledger.Charge(a, bytes)
	b.mu.Unlock()
	b.closeAll(victims, OutOfMemory)
	return b.awaitRoom(a)
}

func (b *Budget) awaitRoom(a *Account) error {
	var limit <-chan time.Time
	for {
		b.mu.Lock()
		closing, fits := a.closing, b.ledger.Fits()
		if !closing && !fits && b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		if closing {
			return errClosed
		}
		if fits {
			return nil
		}
		if limit == nil {
			timer := time.NewTimer(closeWait)
			defer timer.Stop()
			limit = timer.C
		}
		select {
		case <-freed:
		case <-limit:
			return nil
		}
	}
}

func (b *Budget) closeAll(victims []*Account, reason Reason) {
	if len(victims) == 0 {
		return
	}
	for _, victim := range victims {
		b.observe(reason)
		victim.close()
	}
	b.wake(func() {}) // a victim may be waiting for room itself
}

func (b *Budget) begin(a *Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Begin(a)
}

func (b *Budget) end(a *Account, bytes int64) {
	var victims []*Account
	b.wake(func() { victims = b.ledger.End(a, bytes) })
	b.closeAll(victims, OutOfMemory)
}

func (b *Budget) remove(a *Account) { b.wake(func() { b.ledger.Remove(a) }) }

// wake makes a change and wakes those that wait for room.
func (b *Budget) wake(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}
