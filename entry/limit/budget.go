package limit

import "sync/atomic"

// Constants of a budget.
const (
	unit         = 1 << 20 // fixed-point representation of one event
	maxSaved     = 10      // maximum balance, in events
	initialSaved = 3       // events that a new budget has
)

// Budget allows additional events, such as retries, as a share of regular ones. A
// host earns only from its own requests, so the share holds across all hosts
// without coordination.
type Budget struct {
	saved atomic.Int64
	ready atomic.Bool
}

// Earn records an event of which the given share may be spent.
func (b *Budget) Earn(share float64) {
	b.start()
	b.add(int64(share * unit))
}

// Spend takes one event from the budget, if it has one.
func (b *Budget) Spend() bool {
	b.start()
	for {
		saved := b.saved.Load()
		if saved < unit {
			return false
		}
		if b.saved.CompareAndSwap(saved, saved-unit) {
			return true
		}
	}
}

func (b *Budget) start() {
	if !b.ready.Load() && b.ready.CompareAndSwap(false, true) {
		b.add(initialSaved * unit)
	}
}

func (b *Budget) add(n int64) {
	for {
		saved := b.saved.Load()
		next := min(saved+n, maxSaved*unit)
		if b.saved.CompareAndSwap(saved, next) {
			return
		}
	}
}
