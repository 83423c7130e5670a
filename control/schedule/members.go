package schedule

import (
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// maxHosts limits the number of identities in one run.
const maxHosts = 12

// Leader returns the name of the leader with the highest term, or "" if there
// is none.
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

// hostNamed returns the newest host of a name, the only one that may still have
// its disk.
func (sim *Simulation) hostNamed(name string) *host {
	for n := len(sim.hosts) - 1; n >= 0; n-- {
		if sim.hosts[n].name == name {
			return sim.hosts[n]
		}
	}
	return nil
}

// LoseDisk replaces the disk of a host by an empty one. The host restarts with a
// new identity.
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

// Crash crashes the process of a host, if it runs.
func (sim *Simulation) Crash(name string) {
	if h := sim.hostNamed(name); h.up {
		h.crash()
	}
}

// changeMembers transfers leadership or proposes a membership change that
// repairs the group.
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

// repairStep proposes one change towards the repaired membership: it promotes a
// learner, else adds a host as a learner, else removes a host without a disk.
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

// Repaired reports whether, in the newest committed membership, exactly the
// hosts with a disk are members, and all of them as voters.
func (sim *Simulation) Repaired() bool {
	for _, h := range sim.hosts {
		role := roleOf(sim.members, h.id)
		if (h.diskLost && role != "") || (!h.diskLost && role != quorum.Voter) {
			return false
		}
	}
	return true
}
