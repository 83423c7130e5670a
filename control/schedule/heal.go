package schedule

import (
	"bytes"
	"fmt"

	"github.com/snipebeam/snipebeam/control/quorum"
)

// Bounds of the time after the faults.
const (
	healRounds   = 600
	roundDeliver = 400
)

// Heal ends all faults, starts every host that has a disk, and runs until all
// of them hold the same log, or for a bounded time.
func (sim *Simulation) Heal() {
	sim.faults = false
	sim.blocked = map[[2]string]bool{}
	for _, h := range sim.hosts {
		h.folder.FailSyncs(nil)
		if !h.up && !h.diskLost {
			h.start()
		}
	}
	if !sim.RunUntil(func() bool { return sim.converged() }) {
		sim.violate(Liveness, "the healed group does not settle: "+sim.describe())
	}
}

// RunUntil lets time pass without further faults until a condition holds.
func (sim *Simulation) RunUntil(condition func() bool) bool {
	for range healRounds {
		sim.now++
		for _, h := range sim.hosts {
			sim.tick(h)
		}
		for range roundDeliver {
			sim.deliver()
		}
		if condition() {
			return true
		}
	}
	return false
}

// Repair adds, promotes and removes replicas until every host with a disk is a
// voter.
func (sim *Simulation) Repair() bool {
	return sim.RunUntil(func() bool {
		if leader := sim.leader(); leader != nil && !sim.Repaired() {
			sim.repairStep(leader)
			leader.flush()
		}
		return sim.Repaired() && sim.converged()
	})
}

// converged reports whether one leader is followed by all voters with equal logs.
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
		text += fmt.Sprintf("%s down gone=%t; ", h.id, h.diskLost)
	}
	return text
}

// checkHealed checks what must hold once the group has healed.
func (sim *Simulation) checkHealed() {
	if len(sim.report.violations) > 0 {
		return
	}
	sim.clients.checkClaims(sim)
	if !sim.RunUntil(sim.converged) {
		sim.violate(Liveness, "the group does not settle after the last requests: "+sim.describe())
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
			sim.violate(SameState, fmt.Sprintf("%s and %s differ", leader.id, h.id))
		}
		sim.clients.checkAccepted(sim, h)
	}
}

// propose proposes at the leader and runs until the outcome is known.
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
		sim.violate(Liveness, "a request of the healed group stays without answer")
	}
}
