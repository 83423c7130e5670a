package quota

// bundle holds requests that were granted together and expire together. The ledger's lock
// guards it.
type bundle struct {
	free   int   // in reserve
	taken  int   // by requests that have not been sent yet
	until  int64 // when they expire
	stated int   // calls in which the host has said what it holds
}

func (b *bundle) valid(now int64) bool { return now < b.until }

// Token is a granted request that is charged to an organisation. A nil one stands for a
// request without a limit.
type Token struct {
	ledger   *Ledger
	bundle   *bundle
	spent    bool
	released bool
	stated   int // of the bundle, when the token was spent
}

// Spend charges the token, just before the request is sent. It returns false if the token
// has expired. Spending it again changes nothing.
func (t *Token) Spend() bool {
	if t == nil {
		return true
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	if t.spent {
		return true
	}
	if t.released || !t.bundle.valid(t.ledger.now()) {
		return false
	}
	t.spent, t.stated = true, t.bundle.stated
	t.bundle.taken--
	return true
}

// Restore takes back the charge of a request of which nothing was sent, unless the leader
// has already been told that it was spent.
func (t *Token) Restore() {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	if t.spent && !t.released && t.stated == t.bundle.stated {
		t.spent = false
		t.bundle.taken++
	}
}

// Release returns the token to the reserve if it has not been spent.
func (t *Token) Release() {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.release()
}

func (t *Token) release() {
	if t.spent || t.released {
		return
	}
	t.released = true
	t.bundle.taken--
	t.bundle.free++
}

// Usable reports whether the request may still be sent with this token.
func (t *Token) Usable() bool {
	if t == nil {
		return false
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	return t.spent || !t.released && t.bundle.valid(t.ledger.now())
}
