package schedule

import (
	"bytes"
	"fmt"

	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Simulation is a control group with its network and its clients.
type Simulation struct {
	options
	source   Source
	report   *Report
	now      int // steps and events, orders what the clients see
	hosts    []*host
	inFlight []*wire.QuorumMessage
	blocked  map[[2]string]bool // from, to

	leaders map[uint64]string
	entries map[uint64]*wire.LogEntry // committed, by index
	members []*wire.Member            // newest committed membership
	clients *clients
}

// Report returns what was seen so far.
func (sim *Simulation) Report() *Report { return sim.report }

func (sim *Simulation) violate(p Invariant, detail string) {
	sim.report.violations = append(sim.report.violations, Violation{invariant: p, step: sim.now, detail: detail})
}

// fault decides, once in n times, that a fault happens.
func (sim *Simulation) fault(n int) bool { return sim.faults && sim.source.Int(n) == n-1 }

// restartOdds is after how many ticks, on average, a crashed host starts again.
const restartOdds = 6

// maxDelivered bounds the messages that arrive in one step.
const maxDelivered = 6

// maxKeptBytes bounds the entries kept behind a snapshot.
const maxKeptBytes = 1500

// maxInFlight bounds the messages that are on their way.
const maxInFlight = 200

func (sim *Simulation) send(messages []*wire.QuorumMessage) {
	for _, m := range messages {
		if sim.blocked[[2]string{m.GetFrom(), m.GetTo()}] || len(sim.inFlight) >= maxInFlight || sim.fault(25) {
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
		if sim.fault(20) {
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

// deliver hands over one message, mostly the oldest. It is encoded and decoded
// on its way, so that hosts share no memory.
func (sim *Simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	n := 0
	if sim.fault(3) {
		n = sim.source.Int(len(sim.inFlight))
	}
	m := sim.inFlight[n]
	sim.inFlight = append(sim.inFlight[:n], sim.inFlight[n+1:]...)
	h := sim.find(m.GetTo())
	if h == nil || !h.up {
		return
	}
	h.replica.Step(proto.Clone(m).(*wire.QuorumMessage))
	h.observe()
	h.flush()
}

func (sim *Simulation) tick(h *host) {
	if !h.up && !h.diskLost && sim.faults && sim.source.Int(restartOdds) == 0 {
		h.start()
	}
	if !h.up {
		return
	}
	h.replica.Tick()
	h.observe()
	h.flush()
}

// step does one event.
func (sim *Simulation) step() {
	sim.now++
	switch n := sim.source.Int(100); {
	case n < 48:
		for range 1 + sim.source.Int(maxDelivered) {
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
			h.snapshot(sim.source.Int(maxKeptBytes))
		}
	default:
		sim.changeMembers()
	}
}

// tickSkewed lets one host's clock run ahead of the others, at times by far.
func (sim *Simulation) tickSkewed(h *host) {
	n := 1
	if sim.fault(8) {
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

// isolateLeader cuts the leader off, in one direction or in both.
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

// loseDisk blanks a host's disk for good, if each membership that may be in
// force keeps a quorum without it. The host comes back with a new identity.
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
	return sim.quorumWithout(sim.members, lost) && sim.allUp()
}

// allUp reports whether every disk that still exists is in use, so that all
// memberships are seen.
func (sim *Simulation) allUp() bool {
	for _, h := range sim.hosts {
		if !h.diskLost && !h.up {
			return false
		}
	}
	return true
}

func (sim *Simulation) quorumWithout(members []*wire.Member, lost *host) bool {
	voters, left := 0, 0
	for _, m := range members {
		if m.GetRole() != quorum.Voter {
			continue
		}
		voters++
		if h := sim.find(m.GetIdentity()); !h.diskLost && h != lost {
			left++
		}
	}
	return voters == 0 || left > voters/2
}

// checkEntry compares a committed entry with what other hosts committed.
func (sim *Simulation) checkEntry(h *host, e *wire.LogEntry) {
	known, ok := sim.entries[e.GetIndex()]
	if !ok {
		sim.entries[e.GetIndex()] = e
		if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS {
			sim.checkChange(e.GetMembers().GetMembers())
		}
		return
	}
	if known.GetTerm() != e.GetTerm() || known.GetKind() != e.GetKind() || !bytes.Equal(known.GetData(), e.GetData()) {
		sim.violate(SameEntries, fmt.Sprintf("entry %d of %s: term %d, was committed with term %d", e.GetIndex(), h.id, e.GetTerm(), known.GetTerm()))
	}
}

func (sim *Simulation) checkChange(next []*wire.Member) {
	if difference(sim.members, next) > 1 && sim.members != nil {
		sim.violate(SingleChange, fmt.Sprintf("from %v to %v", sim.members, next))
	}
	sim.members = next
	sim.report.membershipChanges++
}

func difference(a, b []*wire.Member) int {
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
