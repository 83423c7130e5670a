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

// Timeout of a claim request, and the exponential backoff between requests for a
// key that another attempt holds.
const (
	claimTimeout    = 2 * time.Second
	minClaimBackoff = 20 * time.Millisecond
	maxClaimBackoff = 400 * time.Millisecond
)

// thisAttemptOnly qualifies "not run" for a request with an idempotency key.
const thisAttemptOnly = "; this does not cover earlier attempts with the key"

// runAtMostOnce runs a request that must run at most once: it is dispatched only
// with a claim that a quorum has committed. A claim that was requested and is
// not used is released; the release is retried in the background until it is
// acknowledged.
func (h *Handler) runAtMostOnce(c *call) *outcome.Problem {
	key := c.r.Header.Get(c.rule.Contract().OnceHeader())
	req := &wire.ClaimRequest{
		Key:     &wire.ClaimKey{Service: c.service, Caller: c.caller, IdempotencyKey: key},
		ClaimId: uuid.NewString(), Holder: h.holder, Fingerprint: claimFingerprint(c),
	}
	held := false
	for backoff := minClaimBackoff; ; backoff = min(2*backoff, maxClaimBackoff) {
		response, err := h.claim(c.ctx, req)
		if err != nil {
			h.cfg.Settler.Release(req)
			return c.unclaimed(held, err.Error())
		}
		switch response.GetState() {
		case wire.ClaimState_CLAIM_GRANTED:
			return h.dispatchClaimed(c, req)
		case wire.ClaimState_CLAIM_COMPLETED:
			return h.replay(c, response.GetAnswer())
		case wire.ClaimState_CLAIM_MISMATCH:
			return outcome.New(outcome.NotRun, outcome.KeyReused, "the key was used for another request"+thisAttemptOnly)
		case wire.ClaimState_CLAIM_HELD:
			held = true
		default:
			return c.unclaimed(held, "claim refused: "+response.GetState().String())
		}
		if response.GetUnknown() || !pause.For(c.ctx, backoff) {
			h.cfg.Settler.Release(req)
			return outcome.New(outcome.Unknown, outcome.ClaimHeld, heldDetail(response))
		}
	}
}

// unclaimed returns the outcome of a request that was granted no claim. An
// earlier attempt that holds the key may have run.
func (c *call) unclaimed(held bool, detail string) *outcome.Problem {
	if held {
		return c.problem(outcome.Unknown, outcome.ClaimHeld, "an earlier attempt with the key may have run; "+detail)
	}
	return c.problem(outcome.NotRun, outcome.ClaimUnavailable, detail+thisAttemptOnly)
}

func heldDetail(response *wire.ClaimResponse) string {
	at := time.Unix(0, response.GetClaimedAt()).UTC().Format(time.RFC3339)
	detail := "an earlier attempt has held the key since " + at + " at " + response.GetHolder()
	if response.GetUnknown() {
		return detail + " and its outcome is unknown; an operator can resolve it"
	}
	return detail + " and has neither completed nor released it; its host may have stopped"
}

func (h *Handler) claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return h.cfg.Claims.Claim(ctx, req)
}

// dispatchClaimed sends the request and settles the claim, also after a panic.
// From here on the instance may finish even if the caller disconnects.
func (h *Handler) dispatchClaimed(c *call, req *wire.ClaimRequest) *outcome.Problem {
	if c.ctx.Err() != nil {
		h.cfg.Settler.Release(req)
		return c.problem(outcome.NotRun, outcome.CallerGone, "the claim was granted after the request had ended"+thisAttemptOnly)
	}
	c.ctx.detach()
	rec := &recorder{}
	settled := false
	defer func() {
		if !settled { // an abort or another panic
			h.cfg.Settler.Complete(req, rec.stored())
		}
	}()
	problem := h.sendWithRetries(c, rec)
	settled = true
	if problem != nil && problem.Kind() == outcome.NotRun {
		h.cfg.Settler.Release(req)
		return problem
	}
	h.cfg.Settler.Complete(req, rec.stored())
	return problem
}

// replay sends a stored response.
func (h *Handler) replay(c *call, answer *wire.StoredAnswer) *outcome.Problem {
	switch {
	case answer.GetStatus() == 0:
		return outcome.New(outcome.Unknown, outcome.ClaimHeld, "an earlier attempt may have run; its response was lost")
	case answer.GetCut():
		return outcome.New(outcome.Unknown, outcome.AnswerLost, "an earlier attempt ran; its response was truncated")
	case answer.GetBodyDropped():
		return outcome.New(outcome.Unknown, outcome.AnswerTooLarge, "the request ran; its response was too large to store")
	}
	header := http.Header{}
	for _, field := range answer.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	copyHeader(c.w.Header(), header)
	c.w.Header().Set(outcome.Header, string(outcome.Answer))
	c.w.Header().Set(outcome.DecisionHeader, c.id)
	c.w.Header().Set(ReplayedHeader, "true")
	h.closeIfStopping(c)
	c.extendWriteDeadline()
	c.headerSent = true
	c.w.WriteHeader(int(answer.GetStatus()))
	c.writeChunk(answer.GetBody(), false)
	c.decision.Status = int(answer.GetStatus())
	h.logDecision(c, "replayed")
	return nil
}

// ReplayedHeader marks the stored response of an earlier attempt.
const ReplayedHeader = "Snipebeam-Replayed"

// claimFingerprint returns the fingerprint of the method, the target, and the
// length and buffered prefix of the body.
func claimFingerprint(c *call) []byte {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.r.Method + "\x00" + c.r.URL.RequestURI() + "\x00")
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(c.body.length)))
	_, _ = digest.Write(c.body.prefix)
	return digest.Sum(nil)
}

// poisonFingerprint returns the fingerprint that identifies a poison request at any
// host and under any version of the rules: its caller, if that is named, the host name or service
// that it names, its target and its body. An address is no name, as callers come from several,
// and an idempotency key is no part of it, as it may be new each time. A body that is not
// buffered in full is identified by its length and buffered prefix.
func (c *call) poisonFingerprint() poison.Fingerprint {
	return poison.NewFingerprint(c.body.length, c.body.prefix, c.callerName, c.named, c.r.Method, c.r.URL.RequestURI())
}
