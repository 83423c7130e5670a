package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of claims.
const (
	claimLimit    = 2 * time.Second
	heldPause     = 50 * time.Millisecond
	completeLimit = 5 * time.Second
)

// runOnce runs a request that must run at most once: it dispatches only on a
// claim that a quorum committed.
func (h *Handler) runOnce(ctx context.Context, c *call) *outcome.Problem {
	header := c.rule.Contract().OnceHeader()
	given := c.r.Header.Get(header)
	if given == "" {
		return outcome.New(outcome.NotRun, outcome.KeyMissing, "the rule asks for the header "+header)
	}
	req := &wire.ClaimRequest{
		Key:     &wire.ClaimKey{Service: c.service, Caller: c.caller, IdempotencyKey: given},
		ClaimId: uuid.NewString(), Holder: h.holder, Fingerprint: fingerprint(c.r),
	}
	for {
		response, err := h.claim(ctx, req)
		if err != nil {
			h.release(req)
			return outcome.New(outcome.NotRun, outcome.ClaimUnavailable, err.Error())
		}
		switch response.GetState() {
		case wire.ClaimState_CLAIM_GRANTED:
			return h.dispatchClaimed(ctx, c, req)
		case wire.ClaimState_CLAIM_COMPLETED:
			return replay(c, response.GetAnswer())
		case wire.ClaimState_CLAIM_MISMATCH:
			return outcome.New(outcome.NotRun, outcome.KeyReused, "the key was used for another request")
		case wire.ClaimState_CLAIM_HELD:
		default:
			return outcome.New(outcome.NotRun, outcome.ClaimUnavailable, "no room for a new claim")
		}
		if response.GetUnknown() || !wait(ctx, heldPause) {
			return outcome.New(outcome.Unknown, outcome.ClaimHeld, "an earlier attempt may have run: "+response.GetHolder())
		}
	}
}

func (h *Handler) claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	return h.parts.Claims.Claim(ctx, req)
}

// dispatchClaimed sends the request and stores the answer.
func (h *Handler) dispatchClaimed(ctx context.Context, c *call, req *wire.ClaimRequest) *outcome.Problem {
	seen := &recorder{}
	problem, _ := h.attempt(ctx, c, 1, nil, seen)
	if problem == nil {
		h.complete(req, seen.answer())
		return nil
	}
	if problem.Kind() == outcome.NotRun {
		h.release(req)
	}
	return problem
}

func (h *Handler) complete(req *wire.ClaimRequest, answer *wire.StoredAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), completeLimit)
	defer cancel()
	// A lost completion leaves the claim held: resends are told unknown.
	_, _ = h.parts.Claims.Complete(ctx, &wire.CompleteRequest{Key: req.GetKey(), ClaimId: req.GetClaimId(), Answer: answer})
}

func (h *Handler) release(req *wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), completeLimit)
	defer cancel()
	_, _ = h.parts.Claims.Release(ctx, &wire.ReleaseRequest{Key: req.GetKey(), ClaimId: req.GetClaimId()})
}

// replay sends a stored answer.
func replay(c *call, answer *wire.StoredAnswer) *outcome.Problem {
	if answer.GetBodyDropped() {
		return outcome.New(outcome.Unknown, outcome.AnswerTooLarge, "the request ran; its answer was too large to keep")
	}
	for _, one := range answer.GetHeaders() {
		c.w.Header().Add(one.GetName(), one.GetValue())
	}
	c.w.Header().Set(outcome.Header, string(outcome.Answer))
	c.w.Header().Set(outcome.DecisionHeader, c.id)
	c.w.WriteHeader(int(answer.GetStatus()))
	_, _ = c.w.Write(answer.GetBody())
	return nil
}

func fingerprint(r *http.Request) []byte {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + "\x00" + r.URL.RequestURI())
	return digest.Sum(nil)
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
