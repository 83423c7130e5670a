package limit

import (
	"sync/atomic"
	"time"
)

// DefaultWindow is the window of a budget for which none is configured.
const DefaultWindow = 10 * time.Second

const (
	unit = 1 << 12 // fixed-point representation of one event

	slotsPerWindow = 10
	// validSlots is less than a window, so that an event that is allowed at its end still
	// takes place within the window.
	validSlots = slotsPerWindow - 1
	// earnedPart is the part of the share that an event earns. What is spent within a
	// window was earned in it or in the one before, which each get one half.
	earnedPart = 0.5

	amountBits = 32
	amountMask = 1<<amountBits - 1
)

// Budget allows additional events, such as retries, as a share of regular ones: in any
// window, at most the share of the events of that window or of the one before, whichever
// has more. What is not spent expires, and a new budget has nothing, so that the bound
// holds for the sum of any number of budgets, whenever they start and end, without
// coordination.
type Budget struct {
	slots [slotsPerWindow]atomic.Uint64 // number of the slot, and what was earned in it and not spent
}

// Earn records an event at the given time of which the share may be spent. The time must
// not go back.
func (b *Budget) Earn(share float64, window time.Duration, now int64) {
	b.add(uint64(share*earnedPart*unit), slotAt(window, now))
}

// Spend takes one event from the budget, if it has one.
func (b *Budget) Spend(window time.Duration, now int64) bool {
	return b.spend(0, window, now)
}

// SpendSaved takes one event of what was earned half of a window ago or earlier, if there
// is one. The rest is left to events that matter more.
func (b *Budget) SpendSaved(window time.Duration, now int64) bool {
	return b.spend(validSlots/2, window, now)
}

// spend takes one event of what was earned at least minAge slots ago.
func (b *Budget) spend(minAge int, window time.Duration, now int64) bool {
	current := slotAt(window, now)
	var taken [slotsPerWindow]uint64
	left := uint64(unit)
	for age := validSlots - 1; age >= minAge && left > 0; age-- { // the oldest expire first
		if current < uint64(age) {
			continue
		}
		n := b.take(left, current-uint64(age))
		taken[age], left = n, left-n
	}
	if left == 0 {
		return true
	}
	for age, n := range taken {
		if n > 0 {
			b.restore(n, current-uint64(age))
		}
	}
	return false
}

// slotAt returns the number of the slot of a time.
func slotAt(window time.Duration, now int64) uint64 {
	if window <= 0 {
		window = DefaultWindow
	}
	return uint64(now / int64(window/slotsPerWindow))
}

func pack(number, amount uint64) uint64 { return number<<amountBits | min(amount, amountMask) }

// numberOf returns the number of a slot as far as it is stored.
func numberOf(number uint64) uint64 { return number & amountMask }

// add adds an amount to the current slot, which drops what an earlier slot in its place
// has left.
func (b *Budget) add(amount, number uint64) {
	slot := &b.slots[number%slotsPerWindow]
	for {
		old := slot.Load()
		kept := uint64(0)
		if old>>amountBits == numberOf(number) {
			kept = old & amountMask
		}
		if slot.CompareAndSwap(old, pack(number, kept+amount)) {
			return
		}
	}
}

// take takes up to the given amount from a slot, and returns what it took.
func (b *Budget) take(amount, number uint64) uint64 {
	slot := &b.slots[number%slotsPerWindow]
	for {
		old := slot.Load()
		available := old & amountMask
		if old>>amountBits != numberOf(number) || available == 0 {
			return 0
		}
		n := min(amount, available)
		if slot.CompareAndSwap(old, old-n) {
			return n
		}
	}
}

// restore returns an amount to the slot that it was taken from, unless it has expired.
func (b *Budget) restore(amount, number uint64) {
	slot := &b.slots[number%slotsPerWindow]
	for {
		old := slot.Load()
		if old>>amountBits != numberOf(number) || slot.CompareAndSwap(old, pack(number, old&amountMask+amount)) {
			return
		}
	}
}
