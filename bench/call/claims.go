package call

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

var errUnreachable = errors.New("no control host answers")

// group is the control hosts' state machine without the hosts.
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

// Loss says what becomes of calls to the control hosts.
type Loss int

// Losses of calls.
const (
	NoLoss        Loss = iota
	DropRequests       // they do not arrive
	DropResponses      // they are applied, and the answer is lost
)

// claimsClient is one entry host's way to the group. It ends when the host crashes.
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

// Complete stores an answer.
func (c *claimsClient) Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error) {
	result, err := c.call(ctx, &wire.Command{Body: &wire.Command_Complete{Complete: req}})
	return result.GetComplete(), err
}

// Release gives a claim up.
func (c *claimsClient) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	result, err := c.call(ctx, &wire.Command{Body: &wire.Command_Release{Release: req}})
	return result.GetRelease(), err
}
