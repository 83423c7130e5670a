package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Converge lets time pass until all voters hold the same log.
func (w *Simulation) Converge() bool { return w.RunUntil(w.settled) }

// Submit submits a rules file and waits until it is accepted.
func (w *Simulation) Submit() bool {
	c := w.clients
	c.next++
	req := &wire.SubmitRequest{SubmissionId: fmt.Sprintf("submission-%d", c.next), Text: fmt.Sprintf("text %d", c.next), BaseVersion: c.known}
	c.submissions = append(c.submissions, req)
	a := &attempt{cmd: &wire.Command{Body: &wire.Command_Submit{Submit: req}}}
	a.then = func(result *wire.Result) { c.submitted(w, req, result.GetSubmit()) }
	w.propose(a)
	return a.result.GetSubmit().GetAccepted()
}

// Claim claims a key for a holder that dispatches.
func (w *Simulation) Claim(key string) bool {
	one := w.clients.newHolder(key)
	a := &attempt{cmd: one.claimCommand(w)}
	w.propose(a)
	if a.result.GetClaim().GetState() != wire.ClaimState_CLAIM_GRANTED {
		return false
	}
	one.state = dispatched
	w.clients.dispatched[key] = one.claimID
	return true
}

// CheckHealed checks what must hold once the group has healed.
func (w *Simulation) CheckHealed() { w.judge() }
