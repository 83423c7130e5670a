package state

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// Resolutions of a claim whose outcome is unknown, as given by an operator.
const (
	ResolvedRan       = "ran"
	ResolvedDidNotRun = "did-not-run"
)

// resolve applies an operator's resolution to a claim that was never completed.
func (s *claimsState) resolve(req *wire.ResolveClaimRequest, clock int64) *wire.ResolveClaimResponse {
	c, ok := s.byKey[keyFromProto(req.GetKey())]
	switch {
	case !ok:
		return &wire.ResolveClaimResponse{Refusal: "there is no such claim"}
	case c.state == completed:
		return &wire.ResolveClaimResponse{Refusal: "the claim is completed"}
	case c.claimID != req.GetClaimId():
		return &wire.ResolveClaimResponse{Refusal: "the claim is held by another attempt, " + c.claimID}
	}
	switch req.GetResolution() {
	case ResolvedDidNotRun:
		s.releases.add(&release{key: c.key, claimID: c.claimID, expiresAt: clock + int64(releasedRetention)})
		s.remove(c)
	case ResolvedRan:
		s.setState(c, unknown)
	default:
		return &wire.ResolveClaimResponse{Refusal: "the resolution must be ran or did-not-run"}
	}
	return &wire.ResolveClaimResponse{Resolved: true}
}
