package state

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Bounds of the claims. All times run on the group's clock.
const (
	defaultRetention  = 24 * time.Hour
	maxRetention      = 7 * 24 * time.Hour
	maxStoredBody     = 64 << 10 // bytes of one answer
	maxStoredAnswers  = 32 << 20 // bytes of all answers
	maxClaimBytes     = 72 << 20 // bytes of all claims and releases without answers
	claimOverhead     = 320      // bytes beside the strings
	releasedRetention = 10 * time.Minute
)

type claimState string

const (
	held      claimState = "held"
	completed claimState = "completed"
	unknown   claimState = "unknown"
)

// claim is one attempt's right to run a request.
type claim struct {
	key         claimKey
	holder      string
	claimID     string
	fingerprint string
	claimedAt   int64 // wall clock of the proposer
	expiresAt   int64
	state       claimState
	answer      *wire.StoredAnswer
	place       int // in its expiry bucket
}

func (c *claim) bytes() int {
	return claimOverhead + c.key.bytes() + len(c.holder) + len(c.claimID) + len(c.fingerprint)
}

func answerBytes(a *wire.StoredAnswer) int {
	if a == nil {
		return 0
	}
	n := len(a.GetBody())
	for _, h := range a.GetHeaders() {
		n += len(h.GetName()) + len(h.GetValue())
	}
	return n
}

type claimKey struct {
	service        string
	caller         string
	idempotencyKey string
}

func (k claimKey) bytes() int { return len(k.service) + len(k.caller) + len(k.idempotencyKey) }

func (k claimKey) compare(other claimKey) int {
	return compareAll(k.service, other.service, k.caller, other.caller, k.idempotencyKey, other.idempotencyKey)
}

func (k claimKey) message() *wire.ClaimKey {
	return &wire.ClaimKey{Service: k.service, Caller: k.caller, IdempotencyKey: k.idempotencyKey}
}

func keyOf(k *wire.ClaimKey) claimKey {
	return claimKey{service: k.GetService(), caller: k.GetCaller(), idempotencyKey: k.GetIdempotencyKey()}
}

// claimsState holds the claims and the releases.
type claimsState struct {
	byKey       map[claimKey]*claim
	expiry      expiry[*claim]
	releases    releases
	names       names
	claimBytes  int
	answerBytes int
	counts      map[claimState]int
}

func (s *claimsState) reset() {
	*s = claimsState{
		byKey:  map[claimKey]*claim{},
		expiry: newExpiry(func(c *claim, place int) { c.place = place }),
		names:  names{},
		counts: map[claimState]int{},
	}
	s.releases.reset()
}

func (s *claimsState) full(more int) bool {
	return s.claimBytes+s.releases.bytes+more > maxClaimBytes
}

// claim grants a key to the first attempt; later attempts learn its state. An
// attempt that asks again gets the same grant, but for one that was released:
// its holder has given up and would never complete it.
func (s *claimsState) claim(req *wire.ClaimRequest, wall, clock int64) *wire.ClaimResponse {
	k := keyOf(req.GetKey())
	if old, ok := s.byKey[k]; ok && old.claimID == req.GetClaimId() {
		return old.answerTo(req)
	}
	if s.releases.has(k, req.GetClaimId()) {
		return &wire.ClaimResponse{State: wire.ClaimState_CLAIM_RELEASED}
	}
	if old, ok := s.byKey[k]; ok {
		return old.answerTo(req)
	}
	c := &claim{
		key: s.names.key(k), holder: s.names.one(req.GetHolder()), claimID: req.GetClaimId(),
		fingerprint: string(req.GetFingerprint()), claimedAt: wall, expiresAt: clock + int64(retention(req)), state: held,
	}
	if s.full(c.bytes()) {
		return &wire.ClaimResponse{State: wire.ClaimState_CLAIM_FULL}
	}
	s.add(c)
	return c.answerTo(req)
}

func retention(req *wire.ClaimRequest) time.Duration {
	asked := time.Duration(req.GetRetainMs()) * time.Millisecond
	if asked <= 0 {
		return defaultRetention
	}
	return min(asked, maxRetention)
}

func (s *claimsState) add(c *claim) {
	s.byKey[c.key] = c
	s.claimBytes += c.bytes()
	s.answerBytes += answerBytes(c.answer)
	s.counts[c.state]++
	s.expiry.add(c, c.expiresAt)
}

// remove forgets a claim that still stands in the expiry.
func (s *claimsState) remove(c *claim) {
	s.expiry.remove(c.expiresAt, c.place)
	s.forget(c)
}

func (s *claimsState) forget(c *claim) {
	delete(s.byKey, c.key)
	s.claimBytes -= c.bytes()
	s.answerBytes -= answerBytes(c.answer)
	s.counts[c.state]--
}

func (s *claimsState) setState(c *claim, to claimState) {
	s.counts[c.state]--
	s.counts[to]++
	c.state = to
}

func (c *claim) answerTo(req *wire.ClaimRequest) *wire.ClaimResponse {
	response := &wire.ClaimResponse{Holder: c.holder, ClaimedAt: c.claimedAt, Unknown: c.state == unknown}
	switch {
	case c.fingerprint != string(req.GetFingerprint()):
		response.State = wire.ClaimState_CLAIM_MISMATCH
	case c.state == completed:
		response.State = wire.ClaimState_CLAIM_COMPLETED
		response.Answer = c.answer
	case c.claimID == req.GetClaimId() && c.state == held:
		response.State = wire.ClaimState_CLAIM_GRANTED
	default:
		response.State = wire.ClaimState_CLAIM_HELD
	}
	return response
}

// complete stores the answer of the attempt that holds the key.
func (s *claimsState) complete(req *wire.CompleteRequest) *wire.CompleteResponse {
	c, ok := s.byKey[keyOf(req.GetKey())]
	if !ok || c.claimID != req.GetClaimId() {
		return &wire.CompleteResponse{}
	}
	if req.GetAnswer().GetStatus() == 0 {
		if c.state == held { // the holder knows that it will never know
			s.setState(c, unknown)
		}
		return &wire.CompleteResponse{Stored: true}
	}
	if c.state != completed {
		s.setState(c, completed)
		c.answer = s.bounded(req.GetAnswer())
		s.answerBytes += answerBytes(c.answer)
	}
	return &wire.CompleteResponse{Stored: true}
}

// bounded drops what is too large to keep.
func (s *claimsState) bounded(answer *wire.StoredAnswer) *wire.StoredAnswer {
	size := answerBytes(answer)
	if size <= maxStoredBody && s.answerBytes+size <= maxStoredAnswers {
		return answer
	}
	return &wire.StoredAnswer{Status: answer.GetStatus(), BodyDropped: true}
}

// release removes a claim whose holder never dispatched. The claim may still
// be on its way, so its id is remembered: it will not be granted.
func (s *claimsState) release(req *wire.ReleaseRequest, clock int64) *wire.ReleaseResponse {
	k := keyOf(req.GetKey())
	c, ok := s.byKey[k]
	if ok && c.claimID == req.GetClaimId() && c.state != held {
		return &wire.ReleaseResponse{}
	}
	one := &release{key: k, claimID: req.GetClaimId(), expiresAt: clock + int64(releasedRetention)}
	if !s.releases.has(k, one.claimID) {
		// A release replaces its claim, so it has room where there is one.
		if (!ok || c.claimID != one.claimID) && s.full(one.bytes()) {
			return &wire.ReleaseResponse{}
		}
		s.releases.add(one)
	}
	if ok && c.claimID == req.GetClaimId() {
		s.remove(c)
	}
	return &wire.ReleaseResponse{Released: true}
}

func (s *claimsState) show(key *wire.ClaimKey) *wire.ShowClaimResponse {
	c, ok := s.byKey[keyOf(key)]
	if !ok {
		return &wire.ShowClaimResponse{}
	}
	return &wire.ShowClaimResponse{
		Found: true, Key: c.key.message(), Holder: c.holder, ClaimId: c.claimID,
		State: string(c.state), ClaimedAt: c.claimedAt, Answer: c.answer,
	}
}

// expire forgets what has passed its retention.
func (s *claimsState) expire(clock int64) {
	s.expiry.expire(clock, s.forget)
	s.releases.expire(clock)
}
