package schedule

import (
	"bytes"
	"fmt"

	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Simulation is a simulated control group with its network and its clients.
type Simulation struct {
	options
	source   Source
	report   *Report
	now      int // logical time: advances with steps and client events, and orders the history
	hosts    []*host
	inFlight []*wire.QuorumMessage
	blocked  map[[2]string]bool // from, to

	leaders   map[uint64]string
	committed map[uint64]*wire.LogEntry // committed, by index
	members   []*wire.Member            // newest committed membership
	clients   *clients
}

// Report returns the report so far.
func (sim *Simulation) Report() *Report { return sim.report }

func (sim *Simulation) violate(invariant Invariant, detail string) {
	sim.report.violations = append(sim.report.violations, Violation{invariant: invariant, step: sim.now, detail: detail})
}

// faultOneIn reports, with probability 1/n, that a fault is to be injected.
func (sim *Simulation) faultOneIn(n int) bool { return sim.faults && sim.source.Int(n) == n-1 }

// meanRestartTicks is the mean number of ticks until a crashed host restarts.
const meanRestartTicks = 6

// maxDeliveredPerStep limits the messages that are delivered in one step.
const maxDeliveredPerStep = 6

// maxTrailingBytes limits the entries that a snapshot covers and that stay in
// the log for slow followers.
const maxTrailingBytes = 1500

// maxInFlight limits the messages in transit; further ones are dropped.
const maxInFlight = 200

func (sim *Simulation) send(messages []*wire.QuorumMessage) {
	for _, m := range messages {
		if sim.blocked[[2]string{m.GetFrom(), m.GetTo()}] || len(sim.inFlight) >= maxInFlight || sim.faultOneIn(25) {
			continue
		}
		if m.GetKind() == wire.QuorumKind_QUORUM_SNAPSHOT {
			s, err := sim.find(m.GetFrom()).store.Snapshot()
			if err != nil || s == nil {
				sim.violate(CrashConsistency, fmt.Sprintf("no snapshot to send: %v", err))
				continue
			}
			m.Snapshot = s
		}
		sim.inFlight = append(sim.inFlight, m)
		if sim.faultOneIn(20) {
			sim.inFlight = append(sim.inFlight, m)
		}
	}
}

func (sim *Simulation) find(id string) *host {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver delivers one message, usually the oldest. It passes a copy, so that
// hosts share no memory.
func (sim *Simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	n := 0
	if sim.faultOneIn(3) {
		n = sim.source.Int(len(sim.inFlight))
	}
	m := sim.inFlight[n]
	sim.inFlight = append(sim.inFlight[:n], sim.inFlight[n+1:]...)
	h := sim.find(m.GetTo())
	if h == nil || !h.up {
		return
	}
	h.replica.Step(proto.Clone(m).(*wire.QuorumMessage))
	h.checkLeadership()
	h.flush()
}

func (sim *Simulation) tick(h *host) {
	if !h.up && !h.diskLost && sim.faults && sim.source.Int(meanRestartTicks) == 0 {
		h.start()
	}
	if !h.up {
		return
	}
	h.replica.Tick()
	h.checkLeadership()
	h.flush()
}

// step executes one random event.
func (sim *Simulation) step() {
	sim.now++
	switch n := sim.source.Int(100); {
	case n < 48:
		for range 1 + sim.source.Int(maxDeliveredPerStep) {
			sim.deliver()
		}
	case n < 62:
		sim.tickSkewed(sim.randomHost())
	case n < 89:
		sim.clients.randomRequest(sim)
	case n < 95 && sim.faults:
		sim.injectFault()
	case n < 98:
		if h := sim.randomHost(); h.up {
			h.snapshot(sim.source.Int(maxTrailingBytes))
		}
	default:
		sim.changeMembers()
	}
}

// tickSkewed advances the clock of one host ahead of the others, sometimes by
// up to two election timeouts.
func (sim *Simulation) tickSkewed(h *host) {
	n := 1
	if sim.faultOneIn(8) {
		n += sim.source.Int(2 * electionTicks)
	}
	for range n {
		sim.tick(h)
	}
}

func (sim *Simulation) randomHost() *host { return sim.hosts[sim.source.Int(len(sim.hosts))] }

func (sim *Simulation) injectFault() {
	h := sim.randomHost()
	switch sim.source.Int(18) {
	case 0:
		if h.up {
			h.crash()
		}
	case 1, 2, 3:
		if !h.up && !h.diskLost {
			h.start()
			h.flush()
		}
	case 4:
		sim.loseDisk(h)
	case 5:
		sim.blocked[[2]string{h.id, sim.randomHost().id}] = true
	case 6:
		other := sim.randomHost()
		sim.blocked[[2]string{h.id, other.id}] = true
		sim.blocked[[2]string{other.id, h.id}] = true
	case 7, 8:
		sim.isolateLeader()
	default:
		sim.blocked = map[[2]string]bool{}
	}
}

// isolateLeader partitions the leader from all hosts, in one or both directions.
func (sim *Simulation) isolateLeader() {
	leader := sim.leader()
	if leader == nil {
		return
	}
	direction := sim.source.Int(3)
	for _, h := range sim.hosts {
		if direction != 0 {
			sim.blocked[[2]string{leader.id, h.id}] = true
		}
		if direction != 1 {
			sim.blocked[[2]string{h.id, leader.id}] = true
		}
	}
}

// loseDisk makes a host lose its disk if each membership that may be in force
// keeps a quorum without it. The host restarts with a new identity.
func (sim *Simulation) loseDisk(h *host) {
	if h.diskLost || sim.members == nil || !sim.quorumSurvives(h) {
		return
	}
	sim.LoseDisk(h.name)
}

func (sim *Simulation) quorumSurvives(lost *host) bool {
	for _, h := range sim.hosts {
		if h.diskLost || !h.up {
			continue
		}
		if !sim.quorumWithout(h.replica.Members(), lost) {
			return false
		}
	}
	return sim.quorumWithout(sim.members, lost) && sim.allHostsUp()
}

// allHostsUp reports whether every host that has a disk is running. The
// memberships of stopped hosts are not visible to quorumSurvives.
func (sim *Simulation) allHostsUp() bool {
	for _, h := range sim.hosts {
		if !h.diskLost && !h.up {
			return false
		}
	}
	return true
}

func (sim *Simulation) quorumWithout(members []*wire.Member, lost *host) bool {
	voters, remaining := 0, 0
	for _, m := range members {
		if m.GetRole() != quorum.Voter {
			continue
		}
		voters++
		if h := sim.find(m.GetIdentity()); !h.diskLost && h != lost {
			remaining++
		}
	}
	return voters == 0 || remaining > voters/2
}

// checkEntry compares a committed entry with the one that other hosts committed
// at the same index.
func (sim *Simulation) checkEntry(h *host, e *wire.LogEntry) {
	first, ok := sim.committed[e.GetIndex()]
	if !ok {
		sim.committed[e.GetIndex()] = e
		if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS {
			sim.checkChange(e.GetMembers().GetMembers())
		}
		return
	}
	if first.GetTerm() != e.GetTerm() || first.GetKind() != e.GetKind() || !bytes.Equal(first.GetData(), e.GetData()) {
		sim.violate(SameEntries, fmt.Sprintf("entry %d of %s has term %d, but was committed with term %d", e.GetIndex(), h.id, e.GetTerm(), first.GetTerm()))
	}
}

func (sim *Simulation) checkChange(next []*wire.Member) {
	if memberDifference(sim.members, next) > 1 && sim.members != nil {
		sim.violate(SingleChange, fmt.Sprintf("membership changed from %v to %v", sim.members, next))
	}
	sim.members = next
	sim.report.membershipChanges++
}

func memberDifference(a, b []*wire.Member) int {
	roles := map[string]string{}
	for _, m := range a {
		roles[m.GetIdentity()] = m.GetRole()
	}
	n := 0
	for _, m := range b {
		if roles[m.GetIdentity()] != m.GetRole() {
			n++
		}
		delete(roles, m.GetIdentity())
	}
	return n + len(roles)
}
