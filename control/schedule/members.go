package schedule

import (
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// maxHosts bounds the identities of one run.
const maxHosts = 12

// Leader returns the name of a host that leads with the newest term, or "".
func (w *Simulation) Leader() string {
	if h := w.leader(); h != nil {
		return h.name
	}
	return ""
}

func (w *Simulation) leader() *host {
	var best *host
	for _, h := range w.hosts {
		if h.up && h.replica.Role() == quorum.Leader && (best == nil || h.replica.Term() > best.replica.Term()) {
			best = h
		}
	}
	return best
}

// current returns the host of a name that still has its disk.
func (w *Simulation) current(name string) *host {
	for n := len(w.hosts) - 1; n >= 0; n-- {
		if w.hosts[n].name == name {
			return w.hosts[n]
		}
	}
	return nil
}

// LoseDisk blanks the disk of a host, which starts again with a new identity.
func (w *Simulation) LoseDisk(name string) {
	h := w.current(name)
	if len(w.hosts) >= maxHosts {
		return
	}
	if h.up {
		h.up = false
		h.giveUp()
	}
	h.gone = true
	w.report.blanks++
	w.newHost(name)
}

// Crash stops a host's process; what was not synced is lost.
func (w *Simulation) Crash(name string) {
	if h := w.current(name); h.up {
		h.crash()
	}
}

// changeMembers proposes what an operator would do next at the leader.
func (w *Simulation) changeMembers() {
	leader := w.leader()
	if leader == nil {
		return
	}
	if w.source.Int(4) == 0 {
		if id := w.anyHost().id; id != leader.id {
			_ = leader.replica.Transfer(id)
			leader.flush()
		}
		return
	}
	w.repairStep(leader)
	leader.flush()
}

// repairStep proposes one change that brings the membership closer to all
// hosts that have a disk being voters and no others being members.
func (w *Simulation) repairStep(leader *host) {
	for _, h := range w.hosts {
		if !h.gone && h.id != leader.id && roleOf(leader.replica.Members(), h.id) == quorum.Learner {
			if _, _, err := leader.replica.Promote(h.id); err == nil {
				return
			}
		}
	}
	for _, h := range w.hosts {
		if !h.gone && roleOf(leader.replica.Members(), h.id) == "" {
			_, _, _ = leader.replica.AddLearner(&wire.Member{Name: h.name, Identity: h.id, Address: h.id})
			return
		}
	}
	for _, h := range w.hosts {
		if h.gone && roleOf(leader.replica.Members(), h.id) != "" {
			_, _, _ = leader.replica.Remove(h.id)
			return
		}
	}
}

func roleOf(members []*wire.Member, id string) string {
	for _, m := range members {
		if m.GetIdentity() == id {
			return m.GetRole()
		}
	}
	return ""
}

// Repaired reports whether all hosts with a disk are voters, and no others, in
// the newest committed membership.
func (w *Simulation) Repaired() bool {
	for _, h := range w.hosts {
		role := roleOf(w.members, h.id)
		if (h.gone && role != "") || (!h.gone && role != quorum.Voter) {
			return false
		}
	}
	return true
}
