package command

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

type claimCommand struct {
	Show    claimShowCommand    `cmd:"" help:"Show what is known of a request that runs at most once."`
	Resolve claimResolveCommand `cmd:"" help:"Record whether a request of unknown outcome ran."`
}

// claimKey names a request that runs at most once.
type claimKey struct {
	Service string `arg:"" help:"Service of the request."`
	Caller  string `arg:"" help:"Caller of the request (header Snipebeam-Caller)."`
	Key     string `arg:"" help:"Idempotency key of the request."`
}

func (k claimKey) wire() *wire.ClaimKey {
	return &wire.ClaimKey{Service: k.Service, Caller: k.Caller, IdempotencyKey: k.Key}
}

type claimShowCommand struct{ claimKey }

// claimView is a claim in JSON.
type claimView struct {
	Found     bool   `json:"found"`
	Service   string `json:"service"`
	Caller    string `json:"caller"`
	Key       string `json:"key"`
	State     string `json:"state,omitempty"`
	ClaimID   string `json:"claimId,omitempty"`
	Holder    string `json:"holder,omitempty"`
	ClaimedAt string `json:"claimedAt,omitempty"`
	Status    uint32 `json:"status,omitempty"` // of the stored answer
}

// Run shows a claim.
func (c *claimShowCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	r, err := client.ShowClaim(ctx, c.wire())
	if err != nil {
		return errors.Wrap(err, "show claim")
	}
	out := g.out()
	if !r.GetFound() {
		out.Line("there is no claim: the request was not run through the system, was given up before it ran, or is older than claims are kept")
	} else {
		out.Line("%s, claim %s, claimed at %s by %s", r.GetState(), r.GetClaimId(), when(r.GetClaimedAt()), r.GetHolder())
	}
	if r.GetAnswer() != nil {
		out.Line("stored answer: status %d", r.GetAnswer().GetStatus())
	}
	return out.Show(claimView{
		Found: r.GetFound(), Service: c.Service, Caller: c.Caller, Key: c.Key, State: r.GetState(), ClaimID: r.GetClaimId(),
		Holder: r.GetHolder(), ClaimedAt: when(r.GetClaimedAt()), Status: r.GetAnswer().GetStatus(),
	}, nil)
}

type claimResolveCommand struct {
	claimKey
	Ran       bool   `help:"The request ran; its key stays used." xor:"resolution" required:""`
	DidNotRun bool   `help:"The request did not run; its key may be used again." xor:"resolution" required:""`
	ClaimID   string `help:"Claim as \"claim show\" names it, so that no other attempt is resolved." required:""`
	Author    string `help:"Who resolves." env:"USER" default:"operator"`
	Reason    string `help:"How you know." short:"m" required:""`
}

// Run records an operator's word on a claim.
func (c *claimResolveCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	resolution := "did-not-run"
	if c.Ran {
		resolution = "ran"
	}
	ctx, cancel := g.context()
	defer cancel()
	r, err := client.ResolveClaim(ctx, &wire.ResolveClaimRequest{
		Key: c.wire(), ClaimId: c.ClaimID, Resolution: resolution, Author: c.Author, Reason: c.Reason,
	})
	if err != nil {
		return errors.Wrap(err, "resolve claim")
	}
	if !r.GetResolved() {
		return &RefusedError{text: "refused: " + r.GetRefusal() + " (look again with \"snipebeam claim show\")"}
	}
	out := g.out()
	out.Line("recorded: %s", resolution)
	return out.Show(struct {
		Resolved   bool   `json:"resolved"`
		Resolution string `json:"resolution"`
	}{true, resolution}, nil)
}
