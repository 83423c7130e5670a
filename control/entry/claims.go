// Package entry serves the Twirp service Claims to entry hosts.
//
// Usage:
//
//	claims := entry.NewClaims(log, machine)
//	mux.Handle(wire.ClaimsPathPrefix, wire.NewClaimsServer(claims))
package entry

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Claims implements the Twirp service Claims.
type Claims struct {
	log     agreement.Log
	machine *state.Machine
}

// NewClaims returns the service of one control host.
func NewClaims(log agreement.Log, machine *state.Machine) *Claims {
	return &Claims{log: log, machine: machine}
}

func (s *Claims) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	cmd.At = time.Now().UnixNano()
	result, err := s.log.Propose(ctx, cmd)
	if err != nil {
		return nil, operator.ProposeError(err)
	}
	return result, nil
}

// Claim grants a key to the first attempt that claims it.
func (s *Claims) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: req}})
	return result.GetClaim(), err
}

// Complete stores the response of the attempt that holds the key.
func (s *Claims) Complete(ctx context.Context, req *wire.CompleteRequest) (*wire.CompleteResponse, error) {
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Complete{Complete: req}})
	return result.GetComplete(), err
}

// Release removes a claim whose holder did not dispatch the request.
func (s *Claims) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Release{Release: req}})
	return result.GetRelease(), err
}

// Show returns the state of one claim.
func (s *Claims) Show(ctx context.Context, req *wire.ShowClaimRequest) (*wire.ShowClaimResponse, error) {
	if err := s.log.Confirm(ctx); err != nil {
		return nil, operator.ProposeError(err)
	}
	return s.machine.ShowClaim(req.GetKey()), nil
}

// Resolve records an operator's decision on a claim that was not completed.
func (s *Claims) Resolve(ctx context.Context, req *wire.ResolveClaimRequest) (*wire.ResolveClaimResponse, error) {
	result, err := s.propose(ctx, &wire.Command{Body: &wire.Command_Resolve{Resolve: req}})
	return result.GetResolve(), err
}
