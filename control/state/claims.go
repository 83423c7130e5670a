package state

import (
	"bytes"
	"container/heap"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Bounds of the claims.
const (
	maxClaims           = 500_000
	defaultRetention    = 24 * time.Hour
	maxStoredBodyBytes  = 64 << 10
	maxStoredTotalBytes = 96 << 20
)

type claimState string

const (
	held      claimState = "held"
	completed claimState = "completed"
	unknown   claimState = "unknown"
)

type claim struct {
	request   *wire.ClaimRequest
	claimedAt int64
	expiresAt int64
	state     claimState
	answer    *wire.StoredAnswer
}

func (c *claim) storedBytes() int { return len(c.answer.GetBody()) }

type claimsState struct {
	byKey       map[claimKey]*claim
	expiry      expiryHeap
	storedBytes int
}

type claimKey struct {
	service        string
	caller         string
	idempotencyKey string
}

func keyOf(k *wire.ClaimKey) claimKey {
	return claimKey{service: k.GetService(), caller: k.GetCaller(), idempotencyKey: k.GetIdempotencyKey()}
}

func (s *claimsState) reset() {
	s.byKey = map[claimKey]*claim{}
	s.expiry = nil
	s.storedBytes = 0
}

// claim grants a key to the first attempt; later attempts learn its state. An
// attempt that asks again gets the same grant.
func (s *claimsState) claim(req *wire.ClaimRequest, now int64) *wire.ClaimResponse {
	k := keyOf(req.GetKey())
	if old, ok := s.byKey[k]; ok {
		return old.answerTo(req)
	}
	if len(s.byKey) >= maxClaims {
		return &wire.ClaimResponse{State: wire.ClaimState_CLAIM_FULL}
	}
	retain := time.Duration(req.GetRetainMs()) * time.Millisecond
	if retain <= 0 {
		retain = defaultRetention
	}
	c := &claim{request: req, claimedAt: now, expiresAt: now + int64(retain), state: held}
	s.add(k, c)
	return c.answerTo(req)
}

func (s *claimsState) add(k claimKey, c *claim) {
	s.byKey[k] = c
	s.storedBytes += c.storedBytes()
	heap.Push(&s.expiry, expiring{at: c.expiresAt, key: k, claimID: c.request.GetClaimId()})
}

func (s *claimsState) remove(k claimKey, c *claim) {
	delete(s.byKey, k)
	s.storedBytes -= c.storedBytes()
}

func (c *claim) answerTo(req *wire.ClaimRequest) *wire.ClaimResponse {
	response := &wire.ClaimResponse{Holder: c.request.GetHolder(), ClaimedAt: c.claimedAt, Unknown: c.state == unknown}
	switch {
	case !bytes.Equal(c.request.GetFingerprint(), req.GetFingerprint()):
		response.State = wire.ClaimState_CLAIM_MISMATCH
	case c.state == completed:
		response.State = wire.ClaimState_CLAIM_COMPLETED
		response.Answer = c.answer
	case c.request.GetClaimId() == req.GetClaimId() && c.state == held:
		response.State = wire.ClaimState_CLAIM_GRANTED
	default:
		response.State = wire.ClaimState_CLAIM_HELD
	}
	return response
}

// complete stores the answer of the attempt that holds the key.
func (s *claimsState) complete(req *wire.CompleteRequest) *wire.CompleteResponse {
	c, ok := s.byKey[keyOf(req.GetKey())]
	if !ok || c.request.GetClaimId() != req.GetClaimId() || c.state == completed {
		return &wire.CompleteResponse{Stored: ok && c.state == completed && c.request.GetClaimId() == req.GetClaimId()}
	}
	c.state = completed
	c.answer = s.bounded(req.GetAnswer())
	s.storedBytes += c.storedBytes()
	return &wire.CompleteResponse{Stored: true}
}

// bounded drops a body that is too large to keep.
func (s *claimsState) bounded(answer *wire.StoredAnswer) *wire.StoredAnswer {
	size := len(answer.GetBody())
	if size <= maxStoredBodyBytes && s.storedBytes+size <= maxStoredTotalBytes {
		return answer
	}
	return &wire.StoredAnswer{Status: answer.GetStatus(), Headers: answer.GetHeaders(), BodyDropped: true}
}

// release removes a claim whose holder never dispatched.
func (s *claimsState) release(req *wire.ReleaseRequest) *wire.ReleaseResponse {
	k := keyOf(req.GetKey())
	c, ok := s.byKey[k]
	if !ok || c.request.GetClaimId() != req.GetClaimId() || c.state != held {
		return &wire.ReleaseResponse{Released: !ok}
	}
	s.remove(k, c)
	return &wire.ReleaseResponse{Released: true}
}

// Resolutions that an operator may give to a claim whose outcome is unknown.
const (
	ResolvedRan       = "ran"
	ResolvedDidNotRun = "did-not-run"
)

// resolve records an operator's word on a claim that was never completed.
func (s *claimsState) resolve(req *wire.ResolveClaimRequest) *wire.ResolveClaimResponse {
	k := keyOf(req.GetKey())
	c, ok := s.byKey[k]
	switch {
	case !ok:
		return &wire.ResolveClaimResponse{Refusal: "there is no such claim"}
	case c.state == completed:
		return &wire.ResolveClaimResponse{Refusal: "the claim is completed"}
	case c.request.GetClaimId() != req.GetClaimId():
		return &wire.ResolveClaimResponse{Refusal: "the claim is held by another attempt, " + c.request.GetClaimId()}
	}
	switch req.GetResolution() {
	case ResolvedDidNotRun:
		s.remove(k, c)
	case ResolvedRan:
		c.state = unknown
	default:
		return &wire.ResolveClaimResponse{Refusal: "a resolution is ran or did-not-run"}
	}
	return &wire.ResolveClaimResponse{Resolved: true}
}

func (s *claimsState) show(key *wire.ClaimKey) *wire.ShowClaimResponse {
	c, ok := s.byKey[keyOf(key)]
	if !ok {
		return &wire.ShowClaimResponse{}
	}
	return &wire.ShowClaimResponse{
		Found: true, Key: c.request.GetKey(), Holder: c.request.GetHolder(), ClaimId: c.request.GetClaimId(),
		State: string(c.state), ClaimedAt: c.claimedAt, Answer: c.answer,
	}
}

func (s *claimsState) count() (heldCount, unknownCount int) {
	for _, c := range s.byKey {
		switch c.state {
		case held:
			heldCount++
		case unknown:
			unknownCount++
		case completed:
		}
	}
	return heldCount, unknownCount
}

// expire forgets claims whose retention has passed.
func (s *claimsState) expire(now int64) {
	for len(s.expiry) > 0 && s.expiry[0].at <= now {
		due := heap.Pop(&s.expiry).(expiring)
		if c, ok := s.byKey[due.key]; ok && c.request.GetClaimId() == due.claimID {
			s.remove(due.key, c)
		}
	}
}

func (s *claimsState) save(out *wire.StateSnapshot) {
	for _, c := range s.byKey {
		out.Claims = append(out.Claims, &wire.SnapshotClaim{
			Request: c.request, ClaimedAt: c.claimedAt, ExpiresAt: c.expiresAt, State: string(c.state), Answer: c.answer,
		})
	}
}

func (s *claimsState) load(in *wire.StateSnapshot) {
	s.reset()
	for _, one := range in.GetClaims() {
		s.add(keyOf(one.GetRequest().GetKey()), &claim{
			request: one.GetRequest(), claimedAt: one.GetClaimedAt(), expiresAt: one.GetExpiresAt(),
			state: claimState(one.GetState()), answer: one.GetAnswer(),
		})
	}
}

type expiring struct {
	at      int64
	key     claimKey
	claimID string
}

type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an element for container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiring)) }

// Pop removes the last element for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
