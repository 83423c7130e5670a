package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Converge runs without further events until all voters have the same log.
func (sim *Simulation) Converge() bool { return sim.RunUntil(sim.converged) }

// Submit submits a rules file at the leader and reports whether it is accepted.
func (sim *Simulation) Submit() bool {
	c := sim.clients
	c.lastID++
	req := &wire.SubmitRequest{SubmissionId: fmt.Sprintf("submission-%d", c.lastID), Text: fmt.Sprintf("text %d", c.lastID), BaseVersion: c.newestVersion}
	c.submissions = append(c.submissions, req)
	a := &attempt{cmd: &wire.Command{Body: &wire.Command_Submit{Submit: req}}}
	a.onResult = func(result *wire.Result) { c.handleSubmit(sim, req, result.GetSubmit()) }
	sim.propose(a)
	return a.result.GetSubmit().GetAccepted()
}

// Claim claims a key and reports whether the claim is granted, in which case
// it counts as dispatched.
func (sim *Simulation) Claim(key string) bool {
	cl := sim.clients.newClaimant(key)
	a := &attempt{cmd: cl.claimCommand(sim)}
	sim.propose(a)
	if a.result.GetClaim().GetState() != wire.ClaimState_CLAIM_GRANTED {
		return false
	}
	cl.state = dispatched
	sim.clients.dispatchedBy[key] = cl.claimID
	return true
}

// CheckHealed checks the invariants of a healed group.
func (sim *Simulation) CheckHealed() { sim.checkHealed() }
