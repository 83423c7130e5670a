package caller

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of claims.
const (
	claimLimit     = 2 * time.Second
	firstHeldPause = 20 * time.Millisecond
	lastHeldPause  = 400 * time.Millisecond
)

// ofThisAttempt limits what "not run" says about a key.
const ofThisAttempt = "; this says nothing of an earlier attempt with the key"

// runOnce runs a request that must run at most once: it dispatches only on a
// claim that a quorum committed. A claim that was asked for and is not used is
// released, in the background, until that is acknowledged.
func (h *Handler) runOnce(c *call) *outcome.Problem {
	given := c.r.Header.Get(c.rule.Contract().OnceHeader())
	req := &wire.ClaimRequest{
		Key:     &wire.ClaimKey{Service: c.service, Caller: c.caller, IdempotencyKey: given},
		ClaimId: uuid.NewString(), Holder: h.holder, Fingerprint: claimPrint(c),
	}
	held := false
	for step := firstHeldPause; ; step = min(2*step, lastHeldPause) {
		response, err := h.claim(c.clock, req)
		if err != nil {
			h.parts.Settler.Release(req)
			return c.unclaimed(held, err.Error())
		}
		switch response.GetState() {
		case wire.ClaimState_CLAIM_GRANTED:
			return h.dispatchClaimed(c, req)
		case wire.ClaimState_CLAIM_COMPLETED:
			return h.replay(c, response.GetAnswer())
		case wire.ClaimState_CLAIM_MISMATCH:
			return outcome.New(outcome.NotRun, outcome.KeyReused, "the key was used for another request"+ofThisAttempt)
		case wire.ClaimState_CLAIM_HELD:
			held = true
		default:
			return c.unclaimed(held, "the claim was refused: "+response.GetState().String())
		}
		if response.GetUnknown() || !pause.For(c.clock, step) {
			h.parts.Settler.Release(req)
			return outcome.New(outcome.Unknown, outcome.ClaimHeld, heldDetail(response))
		}
	}
}

// unclaimed is the outcome of a request whose claim could not be had. An
// earlier attempt that holds the key may have run.
func (c *call) unclaimed(held bool, detail string) *outcome.Problem {
	if held {
		return c.problem(outcome.Unknown, outcome.ClaimHeld, "an earlier attempt with the key may have run; "+detail)
	}
	return c.problem(outcome.NotRun, outcome.ClaimUnavailable, detail+ofThisAttempt)
}

func heldDetail(response *wire.ClaimResponse) string {
	at := time.Unix(0, response.GetClaimedAt()).UTC().Format(time.RFC3339)
	detail := "an earlier attempt holds the key since " + at + " at " + response.GetHolder()
	if response.GetUnknown() {
		return detail + " and its outcome is unknown; an operator can resolve it"
	}
	return detail + " and has neither completed nor released it; its host may have stopped"
}

func (h *Handler) claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	return h.parts.Claims.Claim(ctx, req)
}

// dispatchClaimed sends the request and settles the claim, whatever happens
// on the way. From here on the instance finishes also if the caller goes.
func (h *Handler) dispatchClaimed(c *call, req *wire.ClaimRequest) *outcome.Problem {
	if c.clock.Err() != nil {
		h.parts.Settler.Release(req)
		return c.problem(outcome.NotRun, outcome.CallerGone, "the claim came too late"+ofThisAttempt)
	}
	c.clock.detach()
	seen := &recorder{}
	settled := false
	defer func() {
		if !settled { // an abort or another panic
			h.parts.Settler.Complete(req, seen.answer())
		}
	}()
	problem := h.tries(c, seen)
	settled = true
	if problem != nil && problem.Kind() == outcome.NotRun {
		h.parts.Settler.Release(req)
		return problem
	}
	h.parts.Settler.Complete(req, seen.answer())
	return problem
}

// replay sends a stored answer.
func (h *Handler) replay(c *call, answer *wire.StoredAnswer) *outcome.Problem {
	switch {
	case answer.GetStatus() == 0:
		return outcome.New(outcome.Unknown, outcome.ClaimHeld, "an earlier attempt may have run; its answer was lost")
	case answer.GetCut():
		return outcome.New(outcome.Unknown, outcome.AnswerLost, "an earlier attempt was answered; its answer was cut on the way")
	case answer.GetBodyDropped():
		return outcome.New(outcome.Unknown, outcome.AnswerTooLarge, "the request ran; its answer was too large to keep")
	}
	header := http.Header{}
	for _, one := range answer.GetHeaders() {
		header.Add(one.GetName(), one.GetValue())
	}
	copyHeader(c.w.Header(), header)
	c.w.Header().Set(outcome.Header, string(outcome.Answer))
	c.w.Header().Set(outcome.DecisionHeader, c.id)
	c.w.Header().Set(ReplayedHeader, "true")
	c.allowWrite()
	c.sent = true
	c.w.WriteHeader(int(answer.GetStatus()))
	c.deliver(answer.GetBody(), false)
	c.decision.Status = int(answer.GetStatus())
	h.write(c, "replayed")
	return nil
}

// ReplayedHeader marks a stored answer of an earlier attempt.
const ReplayedHeader = "Snipebeam-Replayed"

// claimPrint is the fingerprint of method, target, length and the kept start
// of the body.
func claimPrint(c *call) []byte {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.r.Method + "\x00" + c.r.URL.RequestURI() + "\x00")
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(c.body.length)))
	_, _ = digest.Write(c.body.start)
	return digest.Sum(nil)
}

// poisonPrint is the fingerprint under which a request that costs instances is
// known: its rule, its key or else its target, and its body. A body that is
// not kept whole counts by its length, and only for its own caller.
func (h *Handler) poisonPrint(c *call) poison.Fingerprint {
	terms := c.rule.Contract()
	parts := []string{c.service, c.rule.String(), c.r.Method}
	if terms.Once() {
		parts = append(parts, c.caller, c.r.Header.Get(terms.OnceHeader()))
	} else {
		parts = append(parts, c.r.URL.RequestURI())
	}
	if !c.body.whole {
		parts = append(parts, c.caller)
	}
	return poison.NewFingerprint(c.body.length, c.body.start, parts...)
}
