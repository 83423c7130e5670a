package intake

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testBase = 24 << 10

func openAccount(l *Ledger, extra int64) (*Account, []*Account) {
	a := &Account{base: testBase}
	victims := l.Open(a)
	return a, append(victims, l.Charge(a, testBase+extra)...)
}

// Guards against the next client being refused for what others hold.
func TestTheLargestIsClosedAndNotTheNext(t *testing.T) {
	l := NewLedger(1<<20, 0)
	small, _ := openAccount(l, 0)
	large, victims := openAccount(l, 800<<10)
	must.SliceEmpty(t, victims)
	next, victims := openAccount(l, 100<<10)
	must.SliceEmpty(t, victims)
	must.Eq(t, []*Account{large}, l.Charge(next, 100<<10))
	must.False(t, small.closing)
	must.False(t, l.Fits(), must.Sprint("a connection that has not closed yet holds its memory"))
	l.Remove(large)
	must.True(t, l.Fits())
}

func TestAnAccountThatExceedsTheBudgetAloneIsClosed(t *testing.T) {
	l := NewLedger(1<<20, 0)
	small, _ := openAccount(l, 0)
	large, victims := openAccount(l, 2<<20)
	must.Eq(t, []*Account{large}, victims)
	must.False(t, small.closing)
}

// Guards against ordinary requests being closed in favour of clients that only hold
// connections open.
func TestIdleConnectionsAreClosedBeforeOrdinaryRequests(t *testing.T) {
	l := NewLedger(20*testBase, 0)
	ordinary, _ := openAccount(l, 0)
	l.Begin(ordinary)
	l.Charge(ordinary, modestBytes)
	idle, _ := openAccount(l, 0)
	var victims []*Account
	for len(victims) == 0 {
		_, victims = openAccount(l, 0)
	}
	must.Eq(t, []*Account{idle}, victims)
}

// Guards against a caller losing its connection to clients that never sent a request.
func TestUnusedConnectionsAreClosedFirstForTheirNumber(t *testing.T) {
	l := NewLedger(0, 3)
	busy, _ := openAccount(l, 1<<20)
	l.Begin(busy)
	used, _ := openAccount(l, 0)
	l.Begin(used)
	must.SliceEmpty(t, l.End(used, 0))
	unused, _ := openAccount(l, 0)
	next, victims := openAccount(l, 0)
	must.Eq(t, []*Account{unused}, victims)
	last, victims := openAccount(l, 0)
	must.Eq(t, []*Account{next}, victims)
	l.Begin(last)
	_, victims = openAccount(l, 0)
	must.SliceLen(t, 1, victims)
	must.False(t, busy.closing)
	must.False(t, last.closing)
}

func openLink(l *Ledger) []*Account {
	a := &Account{base: testBase, pinned: true}
	victims := l.Open(a)
	return append(victims, l.Charge(a, testBase)...)
}

// Guards against clients that take the links to instances.
func TestLinksAreNotClosedForClients(t *testing.T) {
	for _, l := range []*Ledger{NewLedger(4*testBase, 0), NewLedger(0, 4)} {
		for range 2 {
			must.SliceEmpty(t, openLink(l))
		}
		first, victims := openAccount(l, 0)
		must.SliceEmpty(t, victims)
		_, victims = openAccount(l, 0)
		must.SliceEmpty(t, victims)
		_, victims = openAccount(l, 0)
		must.Eq(t, []*Account{first}, victims)
	}
}

// Guards against a host with links to very many instances that serves no client.
func TestLinksLeaveHalfOfTheLimitsForClients(t *testing.T) {
	for _, l := range []*Ledger{NewLedger(4*testBase, 0), NewLedger(0, 4)} {
		for range 10 {
			must.SliceEmpty(t, openLink(l))
		}
		for range 2 {
			_, victims := openAccount(l, 0)
			must.SliceEmpty(t, victims)
		}
		must.True(t, l.Fits())
		_, victims := openAccount(l, 0)
		must.SliceLen(t, 1, victims)
		must.False(t, victims[0].pinned)
		bytes, connections := l.Held()
		must.Eq(t, 13*testBase, bytes)
		must.Eq(t, 13, connections)
	}
}

// Whatever happens, what is not closing is within the limits, and what is held is the sum
// of the accounts.
func TestLedgerStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		maxBytes, maxConns := rapid.Int64Range(testBase, 100*testBase).Draw(rt, "bytes"), rapid.IntRange(1, 20).Draw(rt, "connections")
		l := NewLedger(maxBytes, maxConns)
		var all, removed []*Account
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			step := rapid.IntRange(0, 5).Draw(rt, "step")
			if step == 5 {
				a := &Account{base: testBase, pinned: true}
				l.Open(a)
				l.Charge(a, testBase)
				all = append(all, a)
				continue
			}
			if step == 0 || len(all) == 0 {
				a, _ := openAccount(l, 0)
				all = append(all, a)
				continue
			}
			n := rapid.IntRange(0, len(all)-1).Draw(rt, "account")
			bytes := rapid.Int64Range(0, 2*maxBytes).Draw(rt, "charge")
			switch a := all[n]; step {
			case 1:
				l.Charge(a, bytes)
			case 2:
				l.Begin(a)
			case 3:
				l.End(a, bytes)
			case 4:
				l.Remove(a)
				removed = append(removed, a)
				all = append(all[:n], all[n+1:]...)
			}
			for _, a := range removed { // a read may end after its connection was closed
				l.Charge(a, bytes)
				l.End(a, bytes)
				l.Remove(a)
			}
			sum, live, conns := int64(0), int64(0), 0
			for _, a := range all {
				sum += a.held
				must.False(rt, a.closing && a.pinned)
				if !a.closing && !a.pinned {
					live += a.held
					conns++
				}
			}
			held, _ := l.Held()
			must.Eq(rt, sum, held)
			must.LessEq(rt, maxBytes, live)
			must.LessEq(rt, maxConns, conns)
		}
	})
}
