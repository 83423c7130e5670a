package quorum_test

import (
	"fmt"

	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// group is a set of replicas with a network that loses nothing unless it is
// cut, and disks that are always in time.
type group struct {
	replicas map[string]*quorum.Replica
	order    []string
	cut      map[string]bool
	queue    []*wire.QuorumMessage
	applied  map[string][]string
	reads    []quorum.ReadResult
	snapshot *wire.LogSnapshot // attached where a snapshot is sent
	sent     int               // snapshots
}

func members(names ...string) []*wire.Member {
	var all []*wire.Member
	for _, name := range names {
		all = append(all, &wire.Member{Name: name, Identity: name, Role: quorum.Voter})
	}
	return all
}

func membersEntry(names ...string) *wire.LogEntry {
	return &wire.LogEntry{Index: 1, Term: 1, Kind: wire.EntryKind_ENTRY_MEMBERS, Members: &wire.Members{Members: members(names...)}}
}

func newReplica(name string, saved quorum.PersistentState) *quorum.Replica {
	seed := uint64(0)
	for _, c := range name {
		seed = seed*31 + uint64(c)
	}
	return quorum.New(name, saved, quorum.WithElectionTicks(electionTicks), quorum.WithHeartbeatTicks(heartbeatTicks), quorum.WithSeed(seed*7919))
}

func newGroup(names ...string) *group {
	g := &group{replicas: map[string]*quorum.Replica{}, cut: map[string]bool{}, applied: map[string][]string{}}
	for _, name := range names {
		g.add(name, quorum.PersistentState{Vote: &wire.SavedVote{Term: 1}, Entries: []*wire.LogEntry{membersEntry(names...)}})
	}
	return g
}

func (g *group) add(name string, saved quorum.PersistentState) {
	g.replicas[name] = newReplica(name, saved)
	g.order = append(g.order, name)
}

func (g *group) flush(name string) {
	r := g.replicas[name]
	for {
		out := r.Take()
		if out.Empty() {
			return
		}
		r.Persisted()
		g.queue = append(g.queue, out.EarlyMessages()...)
		g.queue = append(g.queue, out.Messages()...)
		for _, m := range g.queue {
			if m.GetKind() == wire.QuorumKind_QUORUM_SNAPSHOT && m.GetSnapshot() == nil {
				m.Snapshot = g.snapshot
				g.sent++
			}
		}
		g.reads = append(g.reads, out.Reads()...)
		for _, e := range out.Committed() {
			if e.GetKind() == wire.EntryKind_ENTRY_COMMAND {
				g.applied[name] = append(g.applied[name], string(e.GetData()))
			}
		}
	}
}

// deliver carries all messages until none is left.
func (g *group) deliver() {
	for len(g.queue) > 0 {
		m := g.queue[0]
		g.queue = g.queue[1:]
		to := g.replicas[m.GetTo()]
		if to == nil || g.cut[m.GetFrom()] || g.cut[m.GetTo()] {
			continue
		}
		to.Step(m)
		g.flush(m.GetTo())
	}
}

func (g *group) tick(n int) {
	for range n {
		for _, name := range g.order {
			g.replicas[name].Tick()
			g.flush(name)
		}
		g.deliver()
	}
}

// leader returns the replica that leads with the newest term.
func (g *group) leader() *quorum.Replica {
	var best *quorum.Replica
	for _, name := range g.order {
		r := g.replicas[name]
		if r.Role() == quorum.Leader && (best == nil || r.Term() > best.Term()) {
			best = r
		}
	}
	return best
}

func (g *group) elect() *quorum.Replica {
	for range 100 {
		if r := g.leader(); r != nil && !g.cut[r.ID()] {
			return r
		}
		g.tick(1)
	}
	panic(fmt.Sprintf("no leader among %v", g.order))
}

func (g *group) propose(text string) error {
	r := g.elect()
	_, _, err := r.Propose([]byte(text))
	g.flush(r.ID())
	g.deliver()
	return err
}
