package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// follow takes the sender as the leader of the current term.
func (r *Replica) follow(leader string) {
	if r.role != Follower {
		r.becomeFollower(r.term, leader)
	}
	r.leader = leader
	r.elapsed = 0
}

func (r *Replica) answerAppend(m *wire.QuorumMessage, index uint64) {
	r.send(&wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, To: m.GetFrom(), Term: r.term, Index: index, Round: m.GetRound(),
	})
}

// handleAppend stores the leader's entries where they follow the own log.
func (r *Replica) handleAppend(m *wire.QuorumMessage) {
	r.follow(m.GetFrom())
	if m.GetIndex() < r.log.commit {
		r.answerAppend(m, r.log.commit)
		return
	}
	if !r.log.matches(m.GetIndex(), m.GetLogTerm()) {
		r.send(&wire.QuorumMessage{
			Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, To: m.GetFrom(), Term: r.term, Round: m.GetRound(),
			Index: m.GetIndex(), Reject: true, Hint: r.lastCandidate(m.GetIndex()),
		})
		return
	}
	for _, e := range m.GetEntries() {
		r.store(e)
	}
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	r.log.commit = max(r.log.commit, min(m.GetCommit(), last))
	r.answerAppend(m, last)
}

// store appends one entry, unless it is there already; an entry of another
// term at its place is replaced with all that follow it.
func (r *Replica) store(e *wire.LogEntry) {
	if e.GetIndex() <= r.log.lastIndex() {
		if r.log.matches(e.GetIndex(), e.GetTerm()) {
			return
		}
		r.log.truncate(e.GetIndex())
		r.members.truncate(e.GetIndex())
	}
	r.log.push(e)
	if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS {
		r.members.add(e.GetIndex(), e.GetMembers().GetMembers())
	}
}

// lastCandidate returns the last entry before an index that may match the
// leader's log: entries of the conflicting term are skipped together.
func (r *Replica) lastCandidate(index uint64) uint64 {
	if index > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	conflict, _ := r.log.term(index)
	for index > r.log.commit {
		index--
		if term, ok := r.log.term(index); !ok || term != conflict {
			break
		}
	}
	return index
}

// handleSnapshot replaces the log and the state by the leader's snapshot.
func (r *Replica) handleSnapshot(m *wire.QuorumMessage) {
	r.follow(m.GetFrom())
	snapshot := m.GetSnapshot()
	if snapshot == nil || snapshot.GetIndex() <= r.log.commit {
		r.answerAppend(m, r.log.commit)
		return
	}
	if r.log.matches(snapshot.GetIndex(), snapshot.GetTerm()) {
		// The entries after it may have been acknowledged: they stay.
		r.log.commit = snapshot.GetIndex()
		r.answerAppend(m, snapshot.GetIndex())
		return
	}
	r.log.reset(snapshot)
	r.members = newMembership(PersistentState{Snapshot: snapshot})
	r.out.snapshot = snapshot
	r.answerAppend(m, snapshot.GetIndex())
}
