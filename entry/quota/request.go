package quota

import (
	"time"

	"github.com/snipebeam/snipebeam/world/outcome"
)

// Refusal says why a request gets no token.
type Refusal struct {
	reason     outcome.Reason
	detail     string
	retryAfter time.Duration
}

// Reason returns the reason of the refusal.
func (r *Refusal) Reason() outcome.Reason { return r.reason }

// Detail returns the explanation for people.
func (r *Refusal) Detail() string { return r.detail }

// RetryAfter returns the time after which the request may get a token.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Request waits for a token.
type Request struct {
	holding    *holding
	until      int64  // when it stops waiting
	limitUntil int64  // the same, once the leader has said that the organisation is at its limit
	asked      uint64 // sequence of the last call that counted it, 0 for none
	refused    time.Duration
	token      *Token
	refusal    *Refusal
	decided    bool
	done       chan struct{} // closed once decided
}

// Done is closed once the request has a token or is refused.
func (r *Request) Done() <-chan struct{} { return r.done }

// Result returns the token or the refusal of a decided request. Both are nil if the
// organisation has no limit.
func (r *Request) Result() (*Token, *Refusal) { return r.token, r.refusal }

func (r *Request) decide(token *Token, refusal *Refusal) {
	r.token, r.refusal, r.decided = token, refusal, true
	close(r.done)
}

// end refuses a request that has waited for as long as it may.
func (r *Request) end() {
	if r.refused > 0 {
		r.refuse(r.refused)
		return
	}
	r.decide(nil, &Refusal{reason: outcome.NotReady, detail: "no control host grants requests of the organisation", retryAfter: leaderRetryAfter})
}

func (r *Request) refuse(retryAfter time.Duration) {
	r.decide(nil, &Refusal{reason: outcome.OrganisationRate, detail: "the organisation is at its limit", retryAfter: retryAfter})
}
