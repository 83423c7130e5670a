package schedule

import (
	"bytes"
	"fmt"

	"github.com/snipebeam/snipebeam/control/quorum"
)

// Limits of a run without faults.
const (
	healRounds         = 600
	deliveriesPerRound = 400
)

// Heal ends all faults, starts every host that has a disk, and runs until all
// voters have the same log, or for a bounded time.
func (sim *Simulation) Heal() {
	sim.faults = false
	sim.blocked = map[[2]string]bool{}
	for _, h := range sim.hosts {
		h.folder.FailSyncs(nil)
		h.folder.SetFreeSpace(-1)
		if !h.up && !h.diskLost {
			h.start()
		}
	}
	if !sim.RunUntil(func() bool { return sim.converged() }) {
		sim.violate(Liveness, "the healed group does not converge: "+sim.describe())
	}
}

// RunUntil ticks all hosts and delivers messages until a condition holds. It
// reports false if that does not happen within a bounded time.
func (sim *Simulation) RunUntil(condition func() bool) bool {
	for range healRounds {
		sim.now++
		for _, h := range sim.hosts {
			sim.tick(h)
		}
		for range deliveriesPerRound {
			sim.deliver()
		}
		if condition() {
			return true
		}
	}
	return false
}

// Repair adds, promotes and removes replicas until exactly the hosts with a disk
// are voters.
func (sim *Simulation) Repair() bool {
	return sim.RunUntil(func() bool {
		if leader := sim.leader(); leader != nil && !sim.Repaired() {
			sim.repairStep(leader)
			leader.flush()
		}
		return sim.Repaired() && sim.converged()
	})
}

// converged reports whether there is a leader and all running voters have
// applied its whole log.
func (sim *Simulation) converged() bool {
	leader := sim.leader()
	if leader == nil || leader.replica.CommitIndex() != leader.replica.LastIndex() {
		return false
	}
	for _, h := range sim.hosts {
		if !h.up || roleOf(leader.replica.Members(), h.id) != quorum.Voter {
			continue
		}
		if h.replica.AppliedIndex() != leader.replica.LastIndex() {
			return false
		}
	}
	return true
}

func (sim *Simulation) describe() string {
	text := ""
	for _, h := range sim.hosts {
		if h.up {
			text += fmt.Sprintf("%s %s term %d commit %d last %d; ", h.id, h.replica.Role(), h.replica.Term(), h.replica.CommitIndex(), h.replica.LastIndex())
			continue
		}
		text += fmt.Sprintf("%s down diskLost=%t; ", h.id, h.diskLost)
	}
	return text
}

// checkHealed checks the invariants of a healed group.
func (sim *Simulation) checkHealed() {
	if len(sim.report.violations) > 0 {
		return
	}
	sim.clients.checkClaims(sim)
	if !sim.RunUntil(sim.converged) {
		sim.violate(Liveness, "the group does not converge after the last requests: "+sim.describe())
		return
	}
	sim.report.elections = len(sim.leaders)
	leader := sim.leader()
	want, _ := leader.machine.Snapshot()
	for _, h := range sim.hosts {
		if !h.up || roleOf(leader.replica.Members(), h.id) != quorum.Voter {
			continue
		}
		got, _ := h.machine.Snapshot()
		if !bytes.Equal(want, got) {
			sim.violate(SameState, fmt.Sprintf("the states of %s and %s differ", leader.id, h.id))
		}
		sim.clients.checkAccepted(sim, h)
	}
}

// propose proposes a command at the leader and runs until its result is known.
func (sim *Simulation) propose(a *attempt) {
	sim.RunUntil(func() bool {
		if a.finished {
			return true
		}
		if leader := sim.leader(); leader != nil && !a.running {
			a.start(sim, leader)
		}
		return a.finished
	})
	if !a.finished {
		sim.violate(Liveness, "a request to the healed group gets no response")
	}
}
