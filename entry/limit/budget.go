package limit

import "sync/atomic"

// Constants of a budget.
const (
	unit           = 1 << 20 // fixed-point representation of one event
	maxBalance     = 10      // maximum balance, in events
	initialBalance = 3       // events that a new budget has
)

// Budget allows additional events, such as retries, as a share of regular ones. A
// host earns only from its own requests, so the share holds across all hosts
// without coordination.
type Budget struct {
	balance atomic.Int64
	ready   atomic.Bool
	earned  atomic.Int64
	spent   atomic.Int64
}

// Earn records an event of which the given share may be spent.
func (b *Budget) Earn(share float64) {
	b.start()
	b.earned.Add(int64(share * unit))
	b.add(int64(share * unit))
}

// Spend takes one event from the budget, if it has one. It reports whether the event
// was earned, and not of the initial balance.
func (b *Budget) Spend() (spent, earned bool) {
	b.start()
	for {
		balance := b.balance.Load()
		if balance < unit {
			return false, false
		}
		if b.balance.CompareAndSwap(balance, balance-unit) {
			return true, b.spent.Add(1)*unit <= b.earned.Load()
		}
	}
}

func (b *Budget) start() {
	if !b.ready.Load() && b.ready.CompareAndSwap(false, true) {
		b.add(initialBalance * unit)
	}
}

func (b *Budget) add(n int64) {
	for {
		balance := b.balance.Load()
		next := min(balance+n, maxBalance*unit)
		if b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}
