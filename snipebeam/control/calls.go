package control

import (
	"context"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Submit proposes a rules file. It may be sent to several hosts; the submission
// id deduplicates it.
func (c *Client) Submit(ctx context.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	return tryHosts(ctx, c, acceptAny, func(ctx context.Context, h host) (*wire.SubmitResponse, error) {
		return h.rules.Submit(ctx, req)
	})
}

// Read returns one version of the rules; number 0 selects the one in force.
func (c *Client) Read(ctx context.Context, number uint64) (*wire.ReadResponse, error) {
	fresh := func(r *wire.ReadResponse) bool { return !r.GetStale() }
	return tryHosts(ctx, c, fresh, func(ctx context.Context, h host) (*wire.ReadResponse, error) {
		return h.rules.Read(ctx, &wire.ReadRequest{Number: number})
	})
}

// History lists accepted versions, newest first.
func (c *Client) History(ctx context.Context, limit int) (*wire.HistoryResponse, error) {
	fresh := func(r *wire.HistoryResponse) bool { return !r.GetStale() }
	return tryHosts(ctx, c, fresh, func(ctx context.Context, h host) (*wire.HistoryResponse, error) {
		return h.rules.History(ctx, &wire.HistoryRequest{Limit: uint32(limit)})
	})
}

// Status describes the control group and the hosts.
func (c *Client) Status(ctx context.Context) (*wire.StatusResponse, error) {
	return tryHosts(ctx, c, (*wire.StatusResponse).GetQuorum, func(ctx context.Context, h host) (*wire.StatusResponse, error) {
		return h.rules.Status(ctx, &wire.StatusRequest{})
	})
}

// ShowClaim returns the state of one claim.
func (c *Client) ShowClaim(ctx context.Context, key *wire.ClaimKey) (*wire.ShowClaimResponse, error) {
	return tryHosts(ctx, c, acceptAny, func(ctx context.Context, h host) (*wire.ShowClaimResponse, error) {
		return h.claims.Show(ctx, &wire.ShowClaimRequest{Key: key})
	})
}

// ResolveClaim records an operator's resolution of a claim: whether its request
// ran.
func (c *Client) ResolveClaim(ctx context.Context, req *wire.ResolveClaimRequest) (*wire.ResolveClaimResponse, error) {
	return tryHosts(ctx, c, acceptAny, func(ctx context.Context, h host) (*wire.ResolveClaimResponse, error) {
		return h.claims.Resolve(ctx, req)
	})
}

// ChangeGroup changes the membership of the control group.
func (c *Client) ChangeGroup(ctx context.Context, req *wire.GroupChangeRequest) (*wire.GroupChangeResponse, error) {
	return tryHosts(ctx, c, (*wire.GroupChangeResponse).GetDone, func(ctx context.Context, h host) (*wire.GroupChangeResponse, error) {
		return h.group.Change(ctx, req)
	})
}

// Transfer transfers leadership to another member.
func (c *Client) Transfer(ctx context.Context, to string) (*wire.TransferResponse, error) {
	return tryHosts(ctx, c, (*wire.TransferResponse).GetDone, func(ctx context.Context, h host) (*wire.TransferResponse, error) {
		return h.group.Transfer(ctx, &wire.TransferRequest{To: to})
	})
}

// OrderEvacuation starts or ends the evacuation of a zone. It may be sent to several hosts:
// a repeated order changes nothing.
func (c *Client) OrderEvacuation(ctx context.Context, order *wire.EvacuationOrder) (*wire.EvacuationResult, error) {
	return tryHosts(ctx, c, acceptAny, func(ctx context.Context, h host) (*wire.EvacuationResult, error) {
		return h.evacuations.Order(ctx, order)
	})
}

// Evacuations lists the evacuated zones.
func (c *Client) Evacuations(ctx context.Context) (*wire.EvacuationsResponse, error) {
	fresh := func(r *wire.EvacuationsResponse) bool { return !r.GetStale() }
	return tryHosts(ctx, c, fresh, func(ctx context.Context, h host) (*wire.EvacuationsResponse, error) {
		return h.evacuations.List(ctx, &wire.EvacuationsRequest{})
	})
}
