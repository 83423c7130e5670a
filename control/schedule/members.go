package schedule

import (
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// maxHosts bounds the identities of one run.
const maxHosts = 12

// Leader returns the name of a host that leads with the newest term, or "".
func (sim *Simulation) Leader() string {
	if h := sim.leader(); h != nil {
		return h.name
	}
	return ""
}

func (sim *Simulation) leader() *host {
	var best *host
	for _, h := range sim.hosts {
		if h.up && h.replica.Role() == quorum.Leader && (best == nil || h.replica.Term() > best.replica.Term()) {
			best = h
		}
	}
	return best
}

// hostNamed returns the host of a name that still has its disk.
func (sim *Simulation) hostNamed(name string) *host {
	for n := len(sim.hosts) - 1; n >= 0; n-- {
		if sim.hosts[n].name == name {
			return sim.hosts[n]
		}
	}
	return nil
}

// LoseDisk blanks the disk of a host, which starts again with a new identity.
func (sim *Simulation) LoseDisk(name string) {
	h := sim.hostNamed(name)
	if len(sim.hosts) >= maxHosts {
		return
	}
	if h.up {
		h.up = false
		h.abandonRequests()
	}
	h.diskLost = true
	sim.report.diskLosses++
	sim.newHost(name)
}

// Crash stops a host's process; what was not synced is lost.
func (sim *Simulation) Crash(name string) {
	if h := sim.hostNamed(name); h.up {
		h.crash()
	}
}

// changeMembers proposes what an operator would do next at the leader.
func (sim *Simulation) changeMembers() {
	leader := sim.leader()
	if leader == nil {
		return
	}
	if sim.source.Int(4) == 0 {
		if id := sim.randomHost().id; id != leader.id {
			_ = leader.replica.Transfer(id)
			leader.flush()
		}
		return
	}
	sim.repairStep(leader)
	leader.flush()
}

// repairStep proposes one change that brings the membership closer to all
// hosts that have a disk being voters and no others being members.
func (sim *Simulation) repairStep(leader *host) {
	for _, h := range sim.hosts {
		if !h.diskLost && h.id != leader.id && roleOf(leader.replica.Members(), h.id) == quorum.Learner {
			if _, _, err := leader.replica.Promote(h.id); err == nil {
				return
			}
		}
	}
	for _, h := range sim.hosts {
		if !h.diskLost && roleOf(leader.replica.Members(), h.id) == "" {
			_, _, _ = leader.replica.AddLearner(&wire.Member{Name: h.name, Identity: h.id, Address: h.id})
			return
		}
	}
	for _, h := range sim.hosts {
		if h.diskLost && roleOf(leader.replica.Members(), h.id) != "" {
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
func (sim *Simulation) Repaired() bool {
	for _, h := range sim.hosts {
		role := roleOf(sim.members, h.id)
		if (h.diskLost && role != "") || (!h.diskLost && role != quorum.Voter) {
			return false
		}
	}
	return true
}
