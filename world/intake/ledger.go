package intake

import "math"

// modestBytes is what an account may hold before its size counts against it: the 64 KiB
// charged for a request in the handler and an ordinary head with it, so that ordinary
// requests are not closed in favour of idle connections.
const modestBytes = 96 << 10

// Account is what one connection holds.
type Account struct {
	held    int64 // bytes charged
	base    int64 // of them, those that every connection holds
	serving bool  // a handler runs
	served  bool  // a request has ended
	closing bool  // the connection has been told to close and has not done so
	pinned  bool  // a link of this process, which is not closed for others
	order   uint64
	close   func()
}

// Ledger decides which connections to close when the memory or the number of connections
// that a process may have is spent. It has no lock, no clock and no sockets.
type Ledger struct {
	maxBytes       int64
	maxConnections int
	bytes          int64 // held by clients' accounts that are not closing
	closingBytes   int64
	connections    int   // of clients, that are not closing
	linkBytes      int64 // held by links
	links          int
	order          uint64
	accounts       map[*Account]struct{}
}

// linkPart divides the limits: links count against at most this part of each, because only
// clients' connections are closed, and a host with links to very many instances would serve
// no client.
const linkPart = 2

// NewLedger returns a ledger. A limit of 0 means none.
func NewLedger(maxBytes int64, maxConnections int) *Ledger {
	if maxBytes <= 0 {
		maxBytes = math.MaxInt64
	}
	if maxConnections <= 0 {
		maxConnections = math.MaxInt
	}
	return &Ledger{maxBytes: maxBytes, maxConnections: maxConnections, accounts: map[*Account]struct{}{}}
}

// Open adds a connection and returns those to close for the number of connections.
func (l *Ledger) Open(a *Account) (victims []*Account) {
	l.accounts[a] = struct{}{}
	l.touch(a)
	if a.pinned {
		l.links++
	} else {
		l.connections++
	}
	for l.connections+min(l.links, l.maxConnections/linkPart) > l.maxConnections {
		victim := l.evict(lessUsed)
		if victim == nil {
			break
		}
		victims = append(victims, victim)
	}
	return victims
}

// Charge adds bytes to an account and returns the accounts to close for memory, which may
// include it.
func (l *Ledger) Charge(a *Account, bytes int64) (victims []*Account) {
	if _, open := l.accounts[a]; !open {
		return nil // its last read ended after it was closed
	}
	a.held += bytes
	if a.closing {
		l.closingBytes += bytes
		return nil
	}
	if a.pinned {
		l.linkBytes += bytes
	} else {
		l.bytes += bytes
	}
	for l.bytes+l.countedLinkBytes() > l.maxBytes {
		victim := l.evict(largerFirst)
		if victim == nil {
			break
		}
		victims = append(victims, victim)
	}
	return victims
}

// Begin records that a handler runs.
func (*Ledger) Begin(a *Account) { a.serving = true }

// End records the end of a request, after which the account holds its base and the bytes.
// It returns the accounts to close, as Charge does.
func (l *Ledger) End(a *Account, bytes int64) (victims []*Account) {
	a.serving, a.served = false, true
	l.touch(a)
	return l.Charge(a, a.base+bytes-a.held)
}

// Remove removes a connection that has been closed.
func (l *Ledger) Remove(a *Account) {
	if _, open := l.accounts[a]; !open {
		return
	}
	delete(l.accounts, a)
	switch {
	case a.pinned:
		l.linkBytes -= a.held
		l.links--
	case a.closing:
		l.closingBytes -= a.held
	default:
		l.bytes -= a.held
		l.connections--
	}
}

// Fits reports whether all accounts together, also those that are closing, are within the
// memory.
func (l *Ledger) Fits() bool {
	return l.bytes+l.closingBytes+l.countedLinkBytes() <= l.maxBytes
}

func (l *Ledger) countedLinkBytes() int64 { return min(l.linkBytes, l.maxBytes/linkPart) }

// Held returns the bytes that all accounts hold, and their number.
func (l *Ledger) Held() (bytes int64, connections int) {
	return l.bytes + l.closingBytes + l.linkBytes, len(l.accounts)
}

func (l *Ledger) touch(a *Account) {
	l.order++
	a.order = l.order
}

// evict marks the first account in an order as closing, and returns nil if there is none.
func (l *Ledger) evict(before func(a, b *Account) bool) *Account {
	var victim *Account
	for a := range l.accounts {
		if !a.closing && !a.pinned && (victim == nil || before(a, victim)) {
			victim = a
		}
	}
	if victim == nil {
		return nil
	}
	victim.closing = true
	l.connections--
	l.bytes -= victim.held
	l.closingBytes += victim.held
	return victim
}

// excess returns what an account holds beyond what an ordinary request does.
func (a *Account) excess() int64 { return max(a.held-a.base-modestBytes, 0) }

// largerFirst orders accounts by what they hold beyond an ordinary request.
func largerFirst(a, b *Account) bool {
	if a.excess() != b.excess() {
		return a.excess() > b.excess()
	}
	return lessUsed(a, b)
}

// lessUsed orders connections without a request before those with one, and among them
// those on which none has ended, then the one that has waited longest.
func lessUsed(a, b *Account) bool {
	if a.serving != b.serving {
		return b.serving
	}
	if a.served != b.served {
		return b.served
	}
	return a.order < b.order
}
