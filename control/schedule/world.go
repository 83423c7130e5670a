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
	source  Source
	report  *Report
	now     int // steps and events, orders what the clients see
	hosts   []*host
	flight  []*wire.QuorumMessage
	blocked map[[2]string]bool // from, to

	leaders map[uint64]string
	entries map[uint64]*wire.LogEntry // committed, by index
	members []*wire.Member            // newest committed membership
	clients *clients
}

// Report returns what was seen so far.
func (w *Simulation) Report() *Report { return w.report }

func (w *Simulation) violate(p Invariant, detail string) {
	w.report.violations = append(w.report.violations, Violation{promise: p, step: w.now, detail: detail})
}

// fault decides, once in n times, that a fault happens.
func (w *Simulation) fault(n int) bool { return w.faults && w.source.Int(n) == n-1 }

// restartOdds is after how many ticks, on average, a crashed host starts again.
const restartOdds = 6

// maxDelivered bounds the messages that arrive in one step.
const maxDelivered = 6

// maxKeptBytes bounds the entries kept behind a snapshot.
const maxKeptBytes = 1500

// maxFlight bounds the messages that are on their way.
const maxFlight = 200

func (w *Simulation) send(messages []*wire.QuorumMessage) {
	for _, m := range messages {
		if w.blocked[[2]string{m.GetFrom(), m.GetTo()}] || len(w.flight) >= maxFlight || w.fault(25) {
			continue
		}
		if m.GetKind() == wire.QuorumKind_QUORUM_SNAPSHOT {
			s, err := w.find(m.GetFrom()).store.Snapshot()
			if err != nil || s == nil {
				w.violate(CrashConsistency, fmt.Sprintf("no snapshot to send: %v", err))
				continue
			}
			m.Snapshot = s
		}
		w.flight = append(w.flight, m)
		if w.fault(20) {
			w.flight = append(w.flight, m)
		}
	}
}

func (w *Simulation) find(id string) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver hands over one message, mostly the oldest. It is encoded and decoded
// on its way, so that hosts share no memory.
func (w *Simulation) deliver() {
	if len(w.flight) == 0 {
		return
	}
	n := 0
	if w.fault(3) {
		n = w.source.Int(len(w.flight))
	}
	m := w.flight[n]
	w.flight = append(w.flight[:n], w.flight[n+1:]...)
	h := w.find(m.GetTo())
	if h == nil || !h.up {
		return
	}
	h.replica.Step(proto.Clone(m).(*wire.QuorumMessage))
	h.observe()
	h.flush()
}

func (w *Simulation) tick(h *host) {
	if !h.up && !h.gone && w.faults && w.source.Int(restartOdds) == 0 {
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
func (w *Simulation) step() {
	w.now++
	switch n := w.source.Int(100); {
	case n < 48:
		for range 1 + w.source.Int(maxDelivered) {
			w.deliver()
		}
	case n < 62:
		w.tickSome(w.anyHost())
	case n < 89:
		w.clients.act(w)
	case n < 95 && w.faults:
		w.breakSomething()
	case n < 98:
		if h := w.anyHost(); h.up {
			h.snapshot(w.source.Int(maxKeptBytes))
		}
	default:
		w.changeMembers()
	}
}

// tickSome lets one host's clock run ahead of the others, at times by far.
func (w *Simulation) tickSome(h *host) {
	n := 1
	if w.fault(8) {
		n += w.source.Int(2 * electionTicks)
	}
	for range n {
		w.tick(h)
	}
}

func (w *Simulation) anyHost() *host { return w.hosts[w.source.Int(len(w.hosts))] }

func (w *Simulation) breakSomething() {
	h := w.anyHost()
	switch w.source.Int(18) {
	case 0:
		if h.up {
			h.crash()
		}
	case 1, 2, 3:
		if !h.up && !h.gone {
			h.start()
			h.flush()
		}
	case 4:
		w.loseDisk(h)
	case 5:
		w.blocked[[2]string{h.id, w.anyHost().id}] = true
	case 6:

		other := w.anyHost()
		w.blocked[[2]string{h.id, other.id}] = true
		w.blocked[[2]string{other.id, h.id}] = true
	case 7, 8:
		w.isolateLeader()
	default:
		w.blocked = map[[2]string]bool{}
	}
}

// isolateLeader cuts the leader off, in one direction or in both.
func (w *Simulation) isolateLeader() {
	leader := w.leader()
	if leader == nil {
		return
	}
	direction := w.source.Int(3)
	for _, h := range w.hosts {
		if direction != 0 {
			w.blocked[[2]string{leader.id, h.id}] = true
		}
		if direction != 1 {
			w.blocked[[2]string{h.id, leader.id}] = true
		}
	}
}

// loseDisk blanks a host's disk for good, if each membership that may be in
// force keeps a quorum without it. The host comes back with a new identity.
func (w *Simulation) loseDisk(h *host) {
	if h.gone || w.members == nil || !w.survives(h) {
		return
	}
	w.LoseDisk(h.name)
}

func (w *Simulation) survives(lost *host) bool {
	for _, h := range w.hosts {
		if h.gone || !h.up {
			continue
		}
		if !w.quorumWithout(h.replica.Members(), lost) {
			return false
		}
	}
	return w.quorumWithout(w.members, lost) && w.allUp()
}

// allUp reports whether every disk that still exists is in use, so that all
// memberships are seen.
func (w *Simulation) allUp() bool {
	for _, h := range w.hosts {
		if !h.gone && !h.up {
			return false
		}
	}
	return true
}

func (w *Simulation) quorumWithout(members []*wire.Member, lost *host) bool {
	voters, left := 0, 0
	for _, m := range members {
		if m.GetRole() != quorum.Voter {
			continue
		}
		voters++
		if h := w.find(m.GetIdentity()); !h.gone && h != lost {
			left++
		}
	}
	return voters == 0 || left > voters/2
}

// checkEntry compares a committed entry with what other hosts committed.
func (w *Simulation) checkEntry(h *host, e *wire.LogEntry) {
	known, ok := w.entries[e.GetIndex()]
	if !ok {
		w.entries[e.GetIndex()] = e
		if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS {
			w.checkChange(e.GetMembers().GetMembers())
		}
		return
	}
	if known.GetTerm() != e.GetTerm() || known.GetKind() != e.GetKind() || !bytes.Equal(known.GetData(), e.GetData()) {
		w.violate(SameEntries, fmt.Sprintf("entry %d of %s: term %d, was committed with term %d", e.GetIndex(), h.id, e.GetTerm(), known.GetTerm()))
	}
}

func (w *Simulation) checkChange(next []*wire.Member) {
	if difference(w.members, next) > 1 && w.members != nil {
		w.violate(SingleChange, fmt.Sprintf("from %v to %v", w.members, next))
	}
	w.members = next
	w.report.changes++
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
