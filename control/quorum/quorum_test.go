package quorum_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func TestProposalIsAppliedEverywhere(t *testing.T) {
	g := newGroup("a", "b", "c")
	must.NoError(t, g.propose("one"))
	g.tick(heartbeatTicks)
	for _, name := range g.order {
		must.Eq(t, []string{"one"}, g.applied[name])
	}
}

func TestVoteSurvivesARestart(t *testing.T) {
	saved := quorum.PersistentState{Vote: &wire.SavedVote{Term: 1}, Entries: []*wire.LogEntry{membersEntry("a", "b", "c")}}
	vote := func(from string) *wire.QuorumMessage {
		return &wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_VOTE, From: from, To: "c", Term: 2, Index: 1, LogTerm: 1}
	}
	c := newReplica("c", saved)
	c.Step(vote("a"))
	out := c.Take()
	must.False(t, out.Messages()[0].GetReject())
	must.SliceEmpty(t, out.EarlyMessages())
	saved.Vote = out.Vote()
	restarted := newReplica("c", saved)
	restarted.Step(vote("b"))
	out = restarted.Take()
	must.True(t, out.Messages()[0].GetReject())
}

// An entry of an earlier term that is replicated on a quorum can still be
// overwritten by a later leader.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	saved := quorum.PersistentState{
		Vote:    &wire.SavedVote{Term: 3},
		Entries: []*wire.LogEntry{membersEntry("a", "b", "c"), {Index: 2, Term: 2, Data: []byte("old")}},
	}
	g := &group{replicas: map[string]*quorum.Replica{}, partitioned: map[string]bool{}, applied: map[string][]string{}}
	g.add("a", saved)
	a := g.replicas["a"]
	for a.Role() != quorum.Leader {
		a.Tick()
		out := a.Take()
		a.Persisted()
		for _, m := range out.Messages() {
			a.Step(grantVote(m))
		}
	}
	g.flush("a")
	ack := &wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, From: "b", To: "a", Term: a.Term(), Index: 2}
	a.Step(ack)
	g.flush("a")
	must.Eq(t, 0, a.CommitIndex())
	ack.Index = 3
	a.Step(ack)
	must.Eq(t, 3, a.CommitIndex())
}

// grantVote returns the granting answer to a vote or pre-vote request.
func grantVote(m *wire.QuorumMessage) *wire.QuorumMessage {
	kind := wire.QuorumKind_QUORUM_VOTE_ANSWER
	if m.GetKind() == wire.QuorumKind_QUORUM_PRE_VOTE {
		kind = wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER
	}
	return &wire.QuorumMessage{Kind: kind, From: m.GetTo(), To: m.GetFrom(), Term: m.GetTerm()}
}

func TestIsolatedLeaderConfirmsNoReadAndStepsDown(t *testing.T) {
	g := newGroup("a", "b", "c")
	must.NoError(t, g.propose("one"))
	old := g.leader()
	g.partitioned[old.ID()] = true
	old.ReadIndex(7)
	g.tick(electionTicks)
	must.Eq(t, quorum.Follower, old.Role())
	must.SliceLen(t, 1, g.reads)
	must.False(t, g.reads[0].OK())
	_, _, err := old.Propose([]byte("lost"))
	must.ErrorIs(t, err, quorum.ErrNotLeader)
}

func TestReadIsConfirmedByAQuorum(t *testing.T) {
	g := newGroup("a", "b", "c")
	must.NoError(t, g.propose("one"))
	leader := g.leader()
	leader.ReadIndex(7)
	g.flush(leader.ID())
	must.SliceEmpty(t, g.reads)
	g.deliver()
	must.SliceLen(t, 1, g.reads)
	must.True(t, g.reads[0].OK())
	must.Eq(t, leader.CommitIndex(), g.reads[0].Index())
}

func TestIsolatedFollowerForcesNoElection(t *testing.T) {
	g := newGroup("a", "b", "c")
	leader := g.elect()
	g.tick(electionTicks)
	term := leader.Term()
	isolated := "a"
	if leader.ID() == "a" {
		isolated = "b"
	}
	g.partitioned[isolated] = true
	g.tick(10 * electionTicks)
	must.Eq(t, term, g.replicas[isolated].Term())
	delete(g.partitioned, isolated)
	g.tick(2 * electionTicks)
	must.Eq(t, term, leader.Term())
	must.Eq(t, quorum.Leader, leader.Role())
}

// Entries after the snapshot index may have been acknowledged to the leader and
// must not be dropped.
func TestSnapshotKeepsMatchingEntries(t *testing.T) {
	entries := []*wire.LogEntry{membersEntry("a", "b", "c")}
	for index := uint64(2); index <= 5; index++ {
		entries = append(entries, &wire.LogEntry{Index: index, Term: 1})
	}
	r := newReplica("a", quorum.PersistentState{Vote: &wire.SavedVote{Term: 1}, Entries: entries})
	r.Step(&wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_SNAPSHOT, From: "b", To: "a", Term: 1,
		Snapshot: &wire.LogSnapshot{Index: 3, Term: 1, Members: &wire.Members{Members: members("a", "b", "c")}},
	})
	must.Eq(t, 5, r.LastIndex())
	must.Eq(t, 3, r.CommitIndex())
	out := r.Take()
	must.Nil(t, out.Snapshot())
}

func TestEmptyReplicaNeverCampaigns(t *testing.T) {
	r := newReplica("a", quorum.PersistentState{})
	for range 10 * electionTicks {
		r.Tick()
	}
	out := r.Take()
	must.True(t, out.Empty())
}

func TestTransferMovesTheLeadership(t *testing.T) {
	g := newGroup("a", "b", "c")
	must.NoError(t, g.propose("one"))
	old := g.leader()
	term := old.Term()
	must.NoError(t, old.Transfer(""))
	_, _, err := old.Propose([]byte("two"))
	must.ErrorIs(t, err, quorum.ErrNotLeader)
	g.flush(old.ID())
	g.deliver()
	must.NotEq(t, old.ID(), g.leader().ID())
	must.Eq(t, term+1, g.leader().Term())
	must.NoError(t, g.propose("three"))
}

func TestTransferToAnUnreachableReplicaIsAborted(t *testing.T) {
	g := newGroup("a", "b", "c")
	leader := g.elect()
	g.tick(electionTicks)
	unreachable := "a"
	if leader.ID() == "a" {
		unreachable = "b"
	}
	g.partitioned[unreachable] = true
	must.NoError(t, leader.Transfer(unreachable))
	g.tick(electionTicks + 1)
	must.NoError(t, g.propose("one"))
	must.Eq(t, quorum.Leader, leader.Role())
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	g := newGroup("a", "b", "c")
	leader := g.elect()
	g.deliver()
	g.add("d", quorum.PersistentState{})
	_, _, err := leader.Remove(leader.ID())
	must.ErrorIs(t, err, quorum.ErrRemovesLeader)
	_, _, err = leader.AddLearner(&wire.Member{Name: "d", Identity: "d"})
	must.NoError(t, err)
	_, _, err = leader.AddLearner(&wire.Member{Name: "e", Identity: "e"})
	must.ErrorIs(t, err, quorum.ErrChangePending)
	_, _, err = leader.Promote("d")
	must.ErrorIs(t, err, quorum.ErrNotCaughtUp)
	g.flush(leader.ID())
	g.deliver()
	g.tick(heartbeatTicks)
	_, _, err = leader.Promote("d")
	must.NoError(t, err)
	g.flush(leader.ID())
	g.deliver()
	g.tick(heartbeatTicks)
	must.True(t, g.replicas["d"].IsVoter())
}

// Removing a healthy voter while another one is down would leave no active quorum.
func TestRemovalThatLeavesNoQuorumIsRefused(t *testing.T) {
	g := newGroup("a", "b", "c")
	leader := g.elect()
	g.tick(heartbeatTicks)
	others := []string{"a", "b", "c"}
	for n, name := range others {
		if name == leader.ID() {
			others = append(others[:n:n], others[n+1:]...)
			break
		}
	}
	g.partitioned[others[0]] = true
	g.tick(electionTicks)
	_, _, err := leader.Remove(others[1])
	must.ErrorIs(t, err, quorum.ErrNoActiveQuorum)
	_, _, err = leader.Remove(others[0])
	must.NoError(t, err)
}

func TestNewLeaderRefusesMembershipChangesBeforeItsFirstCommit(t *testing.T) {
	g := newGroup("a", "b", "c")
	first := g.elect()
	g.tick(electionTicks)
	g.partitioned[first.ID()] = true
	for g.leader() == nil || g.leader() == first {
		for _, name := range g.order {
			g.replicas[name].Tick()
			g.flush(name)
		}
		if next := g.leader(); next != nil && next != first {
			break
		}
		g.deliverUntilLeader()
	}
	_, _, err := g.leader().AddLearner(&wire.Member{Identity: "d"})
	must.ErrorIs(t, err, quorum.ErrNoCommitInTerm)
}

// deliverUntilLeader delivers messages until a replica that is not partitioned leads.
func (g *group) deliverUntilLeader() {
	for len(g.queue) > 0 && (g.leader() == nil || g.partitioned[g.leader().ID()]) {
		m := g.queue[0]
		g.queue = g.queue[1:]
		if g.partitioned[m.GetFrom()] || g.partitioned[m.GetTo()] {
			continue
		}
		g.replicas[m.GetTo()].Step(m)
		g.flush(m.GetTo())
	}
}

func TestReplicaFarBehindGetsASnapshot(t *testing.T) {
	g := newGroup("a", "b", "c")
	leader := g.elect()
	behind := "a"
	if leader.ID() == "a" {
		behind = "b"
	}
	g.partitioned[behind] = true
	for range 20 {
		must.NoError(t, g.propose("x"))
	}
	g.snapshot = leader.SnapshotMeta()
	leader.Compact(g.snapshot.GetIndex(), 0)
	delete(g.partitioned, behind)
	g.tick(electionTicks)
	must.Eq(t, 1, g.snapshotsSent)
	must.Eq(t, leader.CommitIndex(), g.replicas[behind].CommitIndex())
}

// Messages that no correct replica sends must not break a leader.
func TestUnexpectedMessagesAreHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup("a", "b", "c")
		must.NoError(t, g.propose("one"))
		leader := g.leader()
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			m := &wire.QuorumMessage{
				Kind: wire.QuorumKind(rapid.IntRange(0, 10).Draw(t, "kind")),
				From: rapid.SampledFrom([]string{"a", "b", "c", "x"}).Draw(t, "from"), To: leader.ID(),
				Term: rapid.Uint64Range(0, leader.Term()-1).Draw(t, "term"), Index: rapid.Uint64Range(0, 9).Draw(t, "index"),
				Reject: rapid.Bool().Draw(t, "reject"), Hint: rapid.Uint64Range(0, 9).Draw(t, "hint"),
			}
			leader.Step(m)
			g.flush(leader.ID())
			g.deliver()
		}
		must.NoError(t, g.propose("two"))
	})
}
