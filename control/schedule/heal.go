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
func (w *Simulation) Heal() {
	w.faults = false
	w.blocked = map[[2]string]bool{}
	for _, h := range w.hosts {
		h.folder.FailSyncs(nil)
		if !h.up && !h.gone {
			h.start()
		}
	}
	if !w.RunUntil(func() bool { return w.settled() }) {
		w.violate(Liveness, "the healed group does not settle: "+w.describe())
	}
}

// RunUntil lets time pass without further faults until a condition holds.
func (w *Simulation) RunUntil(condition func() bool) bool {
	for range healRounds {
		w.now++
		for _, h := range w.hosts {
			w.tick(h)
		}
		for range roundDeliver {
			w.deliver()
		}
		if condition() {
			return true
		}
	}
	return false
}

// Repair adds, promotes and removes replicas until every host with a disk is a
// voter.
func (w *Simulation) Repair() bool {
	return w.RunUntil(func() bool {
		if leader := w.leader(); leader != nil && !w.Repaired() {
			w.repairStep(leader)
			leader.flush()
		}
		return w.Repaired() && w.settled()
	})
}

// settled reports whether one leader is followed by all voters with equal logs.
func (w *Simulation) settled() bool {
	leader := w.leader()
	if leader == nil || leader.replica.CommitIndex() != leader.replica.LastIndex() {
		return false
	}
	for _, h := range w.hosts {
		if !h.up || roleOf(leader.replica.Members(), h.id) != quorum.Voter {
			continue
		}
		if h.replica.AppliedIndex() != leader.replica.LastIndex() {
			return false
		}
	}
	return true
}

func (w *Simulation) describe() string {
	text := ""
	for _, h := range w.hosts {
		if h.up {
			text += fmt.Sprintf("%s %s term %d commit %d last %d; ", h.id, h.replica.Role(), h.replica.Term(), h.replica.CommitIndex(), h.replica.LastIndex())
			continue
		}
		text += fmt.Sprintf("%s down gone=%t; ", h.id, h.gone)
	}
	return text
}

// judge checks what must hold once the group has healed.
func (w *Simulation) judge() {
	if len(w.report.violations) > 0 {
		return
	}
	w.clients.finish(w)
	if !w.RunUntil(w.settled) {
		w.violate(Liveness, "the group does not settle after the last requests: "+w.describe())
		return
	}
	w.report.elections = len(w.leaders)
	leader := w.leader()
	want, _ := leader.machine.Snapshot()
	for _, h := range w.hosts {
		if !h.up || roleOf(leader.replica.Members(), h.id) != quorum.Voter {
			continue
		}
		got, _ := h.machine.Snapshot()
		if !bytes.Equal(want, got) {
			w.violate(SameState, fmt.Sprintf("%s and %s differ", leader.id, h.id))
		}
		w.clients.checkAccepted(w, h)
	}
}

// propose proposes at the leader and runs until the outcome is known.
func (w *Simulation) propose(a *attempt) {
	w.RunUntil(func() bool {
		if a.finished {
			return true
		}
		if leader := w.leader(); leader != nil && !a.running {
			a.start(w, leader)
		}
		return a.finished
	})
	if !a.finished {
		w.violate(Liveness, "a request of the healed group stays without answer")
	}
}
