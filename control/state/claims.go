package state

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits on claims. All durations are measured on the group's clock.
const (
	defaultRetention    = 24 * time.Hour
	maxRetention        = 7 * 24 * time.Hour
	maxAnswerBytes      = 64 << 10 // bytes of one stored answer
	maxTotalAnswerBytes = 32 << 20 // bytes of all stored answers
	maxClaimBytes       = 72 << 20 // bytes of all claims and releases, excluding answers
	claimOverheadBytes  = 320      // bytes per claim or release, excluding its strings
	releasedRetention   = 10 * time.Minute
)

type claimState string

const (
	held      claimState = "held"
	completed claimState = "completed"
	unknown   claimState = "unknown"
)

// claim is the exclusive right of one attempt to run an at-most-once request.
type claim struct {
	key         claimKey
	holder      string
	claimID     string
	fingerprint string
	claimedAt   int64 // wall clock of the proposer
	expiresAt   int64
	state       claimState
	answer      *wire.StoredAnswer
	bucketIndex int // position in its expiry bucket
}

func (c *claim) bytes() int {
	return claimOverheadBytes + c.key.bytes() + len(c.holder) + len(c.claimID) + len(c.fingerprint)
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
	return comparePairs(k.service, other.service, k.caller, other.caller, k.idempotencyKey, other.idempotencyKey)
}

func (k claimKey) toProto() *wire.ClaimKey {
	return &wire.ClaimKey{Service: k.service, Caller: k.caller, IdempotencyKey: k.idempotencyKey}
}

func keyFromProto(k *wire.ClaimKey) claimKey {
	return claimKey{service: k.GetService(), caller: k.GetCaller(), idempotencyKey: k.GetIdempotencyKey()}
}

// claimsState holds the claims and the released claim ids.
type claimsState struct {
	byKey       map[claimKey]*claim
	expiry      expiryQueue[*claim]
	releases    releases
	strings     interner
	claimBytes  int
	answerBytes int
	counts      map[claimState]int
}

func (s *claimsState) reset() {
	*s = claimsState{
		byKey:   map[claimKey]*claim{},
		expiry:  newExpiryQueue(func(c *claim, index int) { c.bucketIndex = index }),
		strings: interner{},
		counts:  map[claimState]int{},
	}
	s.releases.reset()
}

func (s *claimsState) full(more int) bool {
	return s.claimBytes+s.releases.bytes+more > maxClaimBytes
}

// claim grants a key to the first attempt; later attempts get the state of that
// claim. A repeated request of the holder gets the same grant, unless the claim was
// released: its holder has given up and would never complete it.
func (s *claimsState) claim(req *wire.ClaimRequest, wall, clock int64) *wire.ClaimResponse {
	k := keyFromProto(req.GetKey())
	if old, ok := s.byKey[k]; ok && old.claimID == req.GetClaimId() {
		return old.respond(req)
	}
	if s.releases.has(k, req.GetClaimId()) {
		return &wire.ClaimResponse{State: wire.ClaimState_CLAIM_RELEASED}
	}
	if old, ok := s.byKey[k]; ok {
		return old.respond(req)
	}
	c := &claim{
		key: s.strings.internKey(k), holder: s.strings.intern(req.GetHolder()), claimID: req.GetClaimId(),
		fingerprint: string(req.GetFingerprint()), claimedAt: wall, expiresAt: clock + int64(retention(req)), state: held,
	}
	if s.full(c.bytes()) {
		return &wire.ClaimResponse{State: wire.ClaimState_CLAIM_FULL}
	}
	s.add(c)
	return c.respond(req)
}

func retention(req *wire.ClaimRequest) time.Duration {
	requested := time.Duration(req.GetRetainMs()) * time.Millisecond
	if requested <= 0 {
		return defaultRetention
	}
	return min(requested, maxRetention)
}

func (s *claimsState) add(c *claim) {
	s.byKey[c.key] = c
	s.claimBytes += c.bytes()
	s.answerBytes += answerBytes(c.answer)
	s.counts[c.state]++
	s.expiry.add(c, c.expiresAt)
}

// remove deletes a claim that has not expired, also from the expiry queue.
func (s *claimsState) remove(c *claim) {
	s.expiry.remove(c.expiresAt, c.bucketIndex)
	s.drop(c)
}

func (s *claimsState) drop(c *claim) {
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

func (c *claim) respond(req *wire.ClaimRequest) *wire.ClaimResponse {
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

// complete stores the answer of the attempt that holds the claim.
func (s *claimsState) complete(req *wire.CompleteRequest) *wire.CompleteResponse {
	c, ok := s.byKey[keyFromProto(req.GetKey())]
	if !ok || c.claimID != req.GetClaimId() {
		return &wire.CompleteResponse{}
	}
	if req.GetAnswer().GetStatus() == 0 {
		if c.state == held { // the holder cannot determine the outcome
			s.setState(c, unknown)
		}
		return &wire.CompleteResponse{Stored: true}
	}
	if c.state != completed {
		s.setState(c, completed)
		c.answer = s.limitAnswer(req.GetAnswer())
		s.answerBytes += answerBytes(c.answer)
	}
	return &wire.CompleteResponse{Stored: true}
}

// limitAnswer drops the headers and the body of an answer that exceeds the limits.
func (s *claimsState) limitAnswer(answer *wire.StoredAnswer) *wire.StoredAnswer {
	size := answerBytes(answer)
	if size <= maxAnswerBytes && s.answerBytes+size <= maxTotalAnswerBytes {
		return answer
	}
	return &wire.StoredAnswer{Status: answer.GetStatus(), BodyDropped: true}
}

// release removes a claim whose holder never dispatched the request. The claim
// request may still be in flight, so the claim id is recorded and never granted.
func (s *claimsState) release(req *wire.ReleaseRequest, clock int64) *wire.ReleaseResponse {
	k := keyFromProto(req.GetKey())
	c, ok := s.byKey[k]
	if ok && c.claimID == req.GetClaimId() && c.state != held {
		return &wire.ReleaseResponse{}
	}
	r := &release{key: k, claimID: req.GetClaimId(), expiresAt: clock + int64(releasedRetention)}
	if !s.releases.has(k, r.claimID) {
		// The release replaces its claim if there is one, so it needs no
		// additional memory.
		if (!ok || c.claimID != r.claimID) && s.full(r.bytes()) {
			return &wire.ReleaseResponse{}
		}
		s.releases.add(r)
	}
	if ok && c.claimID == req.GetClaimId() {
		s.remove(c)
	}
	return &wire.ReleaseResponse{Released: true}
}

func (s *claimsState) show(key *wire.ClaimKey) *wire.ShowClaimResponse {
	c, ok := s.byKey[keyFromProto(key)]
	if !ok {
		return &wire.ShowClaimResponse{}
	}
	return &wire.ShowClaimResponse{
		Found: true, Key: c.key.toProto(), Holder: c.holder, ClaimId: c.claimID,
		State: string(c.state), ClaimedAt: c.claimedAt, Answer: c.answer,
	}
}

// expire removes claims and releases whose retention has ended.
func (s *claimsState) expire(clock int64) {
	s.expiry.expire(clock, s.drop)
	s.releases.expire(clock)
}
