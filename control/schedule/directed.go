package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Converge lets time pass until all voters hold the same log.
func (sim *Simulation) Converge() bool { return sim.RunUntil(sim.converged) }

// Submit submits a rules file and waits until it is accepted.
func (sim *Simulation) Submit() bool {
	c := sim.clients
	c.next++
	req := &wire.SubmitRequest{SubmissionId: fmt.Sprintf("submission-%d", c.next), Text: fmt.Sprintf("text %d", c.next), BaseVersion: c.newestVersion}
	c.submissions = append(c.submissions, req)
	a := &attempt{cmd: &wire.Command{Body: &wire.Command_Submit{Submit: req}}}
	a.onResult = func(result *wire.Result) { c.handleSubmit(sim, req, result.GetSubmit()) }
	sim.propose(a)
	return a.result.GetSubmit().GetAccepted()
}

// Claim claims a key for a holder that dispatches.
func (sim *Simulation) Claim(key string) bool {
	one := sim.clients.newHolder(key)
	a := &attempt{cmd: one.claimCommand(sim)}
	sim.propose(a)
	if a.result.GetClaim().GetState() != wire.ClaimState_CLAIM_GRANTED {
		return false
	}
	one.state = dispatched
	sim.clients.dispatched[key] = one.claimID
	return true
}

// CheckHealed checks what must hold once the group has healed.
func (sim *Simulation) CheckHealed() { sim.checkHealed() }
