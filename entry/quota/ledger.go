package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// maxPatience bounds how long a request waits for a token.
	maxPatience = 400 * time.Millisecond
	// limitPatience bounds how long a request waits for a token of an organisation at its
	// limit. Its response would be late after a longer wait, and a token that it gets then is
	// one that a request in time does not get.
	limitPatience = 150 * time.Millisecond
	// patiencePart is the part of a request's remaining time for which it may wait.
	patiencePart = 4
	// leaderRetryAfter is the time after which a new leader is likely to grant.
	leaderRetryAfter = time.Second
	// recent is the time after its last request in which a host holds a reserve of an
	// organisation.
	recent = 10 * time.Second
	// horizon is the time for which a reserve lasts. A change of the leader takes up to 2 s.
	horizon = 2500 * time.Millisecond
	// renewInterval is the time after which a reserve is renewed, which leaves 2 s of its
	// validity of 3 s if no leader answers.
	renewInterval = time.Second
	// failurePause is the time from a failed call to the next one if requests wait, and
	// renewalPause if none does: all hosts call all control hosts while there is no leader.
	failurePause = 100 * time.Millisecond
	renewalPause = 300 * time.Millisecond
	demandDecay  = 4 * time.Second // time constant of the decay of an organisation's rate
)

// Ledger is the accounting of the requests that were granted to this host. It makes all
// decisions of the reserve at the times that its clock returns, and opens no connection.
type Ledger struct {
	process string
	now     func() int64
	terms   func(name string) *contract.Organisation

	mu        sync.Mutex
	holdings  map[string]*holding
	sequence  uint64 // of the last call
	applied   uint64 // of the last call whose response was applied
	term      uint64 // of the leader that granted the current bundles
	pending   *pending
	renewedAt int64 // when the last call was sent that was applied
	notUntil  int64 // of a call to fill the reserve
	failedAt  int64 // end of the last call, 0 if it was applied
}

// holding is what this host holds for one organisation.
type holding struct {
	terms     *contract.Organisation
	current   *bundle   // granted by the last known leader, and renewed by each call
	returning int       // that the leader is told to take back, and that are not used again
	others    []*bundle // that are not renewed: of former leaders, and for requests that waited
	waiting   []*Request
	askAt     int64   // when the leader may have tokens for requests that it refused
	rate      float64 // of requests, decayed
	usedAt    int64
}

// pending is the call whose response is awaited.
type pending struct {
	sentAt  int64
	waiting map[string]int
}

// NewLedger returns a ledger. terms returns an organisation of the rules in force, nil if
// there is none. process differs from that of any other process of this or another host, so
// that the leader ignores no call of a process whose predecessor made more of them, and counts
// what the predecessor was granted as spent once it has expired.
func NewLedger(process string, now func() int64, terms func(name string) *contract.Organisation) *Ledger {
	return &Ledger{process: process, now: now, terms: terms, holdings: map[string]*holding{}}
}

// Acquire takes a token for a request with the given time left, or lets it wait for one.
func (l *Ledger) Acquire(o *contract.Organisation, left time.Duration) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	h := l.holdings[o.Name()]
	if h == nil {
		h = &holding{terms: o, current: &bundle{}, usedAt: now}
		l.holdings[o.Name()] = h
	}
	h.rate = h.rateAt(now) + 1/demandDecay.Seconds()
	h.usedAt = now
	patience := min(maxPatience, left/patiencePart)
	r := &Request{holding: h, until: now + int64(patience), limitUntil: now + int64(min(limitPatience, patience)), done: make(chan struct{})}
	if b := h.usable(now); b != nil && len(h.waiting) == 0 {
		r.decide(l.take(b), nil)
		return r
	}
	h.waiting = append(h.waiting, r)
	return r
}

// Ready reports whether a request of the organisation gets a token at once, or after one
// call of a leader that has answered the last one and has not said that it has no token yet.
func (l *Ledger) Ready(o *contract.Organisation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, now := l.holdings[o.Name()], l.now()
	if h != nil && h.usable(now) != nil {
		return true
	}
	return l.failedAt == 0 && (h == nil || now >= h.askAt)
}

func (l *Ledger) take(b *bundle) *Token {
	b.free--
	b.taken++
	return &Token{ledger: l, bundle: b}
}

// End ends the wait of a request. A token that it got meanwhile stays with it.
func (l *Ledger) End(r *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.decided {
		return
	}
	h := r.holding
	h.waiting = slices.DeleteFunc(h.waiting, func(other *Request) bool { return other == r })
	r.end()
}

// Due returns the time of the next call, and false if none is needed.
func (l *Ledger) Due() (at int64, needed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	at = math.MaxInt64
	for _, h := range l.holdings {
		due := l.dueOf(h, now)
		if l.failedAt > 0 && len(h.waiting) > 0 {
			due = max(due, l.failedAt+int64(failurePause))
		} else if l.failedAt > 0 {
			due = max(due, l.failedAt+int64(renewalPause))
		}
		at = min(at, due)
	}
	return at, at < math.MaxInt64
}

func (l *Ledger) dueOf(h *holding, now int64) int64 {
	for _, r := range h.waiting {
		if r.asked == 0 {
			return now
		}
	}
	if len(h.waiting) > 0 {
		return h.askAt
	}
	switch want := h.want(now); {
	case h.current.free < want:
		return max(l.notUntil, now)
	case want > 0 || h.current.free+h.current.taken > 0:
		return max(l.renewedAt+int64(renewInterval), l.notUntil)
	}
	return math.MaxInt64
}

// Begin returns the next call. The one before, if its response has not been applied, is
// given up: what it granted is never used.
func (l *Ledger) Begin() *wire.OrganisationGrantRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.sequence++
	l.pending = &pending{sentAt: now, waiting: map[string]int{}}
	req := &wire.OrganisationGrantRequest{Host: l.process, Sequence: l.sequence, Applied: l.applied, Term: l.term}
	for name, h := range l.holdings {
		need := l.need(name, h, now)
		if need != nil {
			req.Needs = append(req.Needs, need)
		} else if h.empty(now) {
			delete(l.holdings, name)
		}
	}
	return req
}

func (l *Ledger) need(name string, h *holding, now int64) *wire.OrganisationNeed {
	h.expire(now)
	want, terms := h.want(now), l.terms(name)
	if !terms.Limited() {
		h.free()
		want = 0
	} else if terms.Rate() != h.terms.Rate() || terms.Burst() != h.terms.Burst() {
		h.terms, want = terms, 0 // the leader divides what there is under the new limit
	}
	if surplus := h.current.free - want; surplus > 0 {
		h.current.free -= surplus
		h.returning += surplus
	}
	held := h.current.free + h.current.taken
	h.current.stated++
	for _, r := range h.waiting {
		r.asked = l.sequence
	}
	l.pending.waiting[name] = len(h.waiting)
	if want == 0 && h.returning == 0 && held == 0 && len(h.waiting) == 0 {
		return nil
	}
	return &wire.OrganisationNeed{
		Organisation: name, Waiting: uint32(len(h.waiting)), Held: uint32(held), Reserve: uint32(want + h.current.taken), Returned: uint32(h.returning),
	}
}

// Apply takes over the response to the last call.
func (l *Ledger) Apply(response *wire.OrganisationGrantResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, call := l.now(), l.pending
	late := call == nil || now-call.sentAt >= response.GetWaitingValidNs()
	if late || response.GetTerm() < l.term { // the leader takes back what it granted
		l.fail(now)
		return
	}
	if response.GetTerm() > l.term {
		l.startTerm(response)
	}
	l.applied, l.pending, l.failedAt, l.renewedAt = l.sequence, nil, 0, call.sentAt
	l.notUntil = now + response.GetPauseNs()
	for _, grant := range response.GetGrants() {
		if h := l.holdings[grant.GetOrganisation()]; h != nil {
			l.apply(h, grant, call, response)
		}
	}
}

// startTerm sets aside what a former leader granted and the new one does not renew.
func (l *Ledger) startTerm(response *wire.OrganisationGrantResponse) {
	l.term = response.GetTerm()
	renewed := map[string]bool{}
	for _, grant := range response.GetGrants() {
		renewed[grant.GetOrganisation()] = grant.GetRenewed()
	}
	for name, h := range l.holdings {
		h.returning = 0
		if !renewed[name] {
			h.others = append(h.others, h.current)
			h.current = &bundle{}
		}
	}
}

func (l *Ledger) apply(h *holding, grant *wire.OrganisationGrant, call *pending, response *wire.OrganisationGrantResponse) {
	forWaiting := min(int(grant.GetRequests()), call.waiting[grant.GetOrganisation()])
	h.returning = 0
	h.current.until = call.sentAt + response.GetValidNs()
	h.current.free += int(grant.GetRequests()) - forWaiting
	if forWaiting > 0 {
		b := &bundle{free: forWaiting, until: call.sentAt + response.GetWaitingValidNs()}
		h.others = append(h.others, b)
	}
	l.serve(h)
	if retryAfter := time.Duration(grant.GetRetryAfterNs()); retryAfter > 0 {
		h.refuse(l.sequence, retryAfter, l.now())
	}
}

// Fail records that the last call has no response.
func (l *Ledger) Fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(l.now())
}

func (l *Ledger) fail(now int64) {
	l.pending = nil
	l.failedAt = max(now, 1)
	for _, h := range l.holdings {
		for _, r := range h.waiting {
			r.asked = 0
		}
	}
}

// serve gives tokens to waiting requests, in their order.
func (l *Ledger) serve(h *holding) {
	now := l.now()
	for len(h.waiting) > 0 {
		b := h.usable(now)
		if b == nil {
			return
		}
		h.waiting[0].decide(l.take(b), nil)
		h.waiting = h.waiting[1:]
	}
}
