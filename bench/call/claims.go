package call

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

var errUnreachable = errors.New("control group unreachable")

// group is the state machine of the control hosts, without replication.
type group struct {
	mu      sync.Mutex
	machine *state.Machine
}

func newGroup() *group { return &group{machine: state.New()} }

func (g *group) apply(cmd *wire.Command) *wire.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Apply(cmd)
}

// Loss is which messages of calls to the control group are lost.
type Loss int

// Losses.
const (
	NoLoss        Loss = iota
	DropRequests       // calls are not applied
	DropResponses      // calls are applied, but their responses are lost
)

// claimsClient is the client of the group in one entry host. It fails all calls
// once the host has crashed.
type claimsClient struct {
	group *group

	mu      sync.Mutex
	loss    Loss
	crashed bool
}

func (c *claimsClient) setLoss(loss Loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
}

func (c *claimsClient) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed = true
}

func (c *claimsClient) call(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	loss, crashed := c.loss, c.crashed
	c.mu.Unlock()
	if crashed || loss == DropRequests || ctx.Err() != nil {
		return nil, errUnreachable
	}
	result := c.group.apply(cmd)
	if loss == DropResponses {
		return nil, errUnreachable
	}
	return result, nil
}

// Claim claims a key.
func (c *claimsClient) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	result, err := c.call(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: req}})
	return result.GetClaim(), err
}

// Complete stores the response to the request of a claim.
func (c *claimsClient) Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error) {
	result, err := c.call(ctx, &wire.Command{Body: &wire.Command_Complete{Complete: req}})
	return result.GetComplete(), err
}

// Release releases a claim.
func (c *claimsClient) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	result, err := c.call(ctx, &wire.Command{Body: &wire.Command_Release{Release: req}})
	return result.GetRelease(), err
}
