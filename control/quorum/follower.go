package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// follow records the leader of the current term and restarts the election
// timer.
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

// handleAppend appends the leader's entries if the preceding entry matches the
// local log, and otherwise rejects them with a hint where to retry.
func (r *Replica) handleAppend(m *wire.QuorumMessage) {
	r.follow(m.GetFrom())
	if m.GetIndex() < r.log.commit {
		r.answerAppend(m, r.log.commit)
		return
	}
	if !r.log.matches(m.GetIndex(), m.GetLogTerm()) {
		r.send(&wire.QuorumMessage{
			Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, To: m.GetFrom(), Term: r.term, Round: m.GetRound(),
			Index: m.GetIndex(), Reject: true, Hint: r.conflictHint(m.GetIndex()),
		})
		return
	}
	for _, e := range m.GetEntries() {
		r.storeEntry(e)
	}
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	r.log.commit = max(r.log.commit, min(m.GetCommit(), last))
	r.answerAppend(m, last)
}

// storeEntry appends one entry unless the log already has it. A conflicting entry
// at the same index is truncated together with all entries after it.
func (r *Replica) storeEntry(e *wire.LogEntry) {
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

// conflictHint returns the index of the last entry up to index that may match
// the leader's log. It skips all entries of the conflicting term at once, so that
// the leader needs one probe per term and not per entry.
func (r *Replica) conflictHint(index uint64) uint64 {
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

// handleSnapshot installs the leader's snapshot in place of the log and the
// state, unless the log already contains the snapshot's last entry.
func (r *Replica) handleSnapshot(m *wire.QuorumMessage) {
	r.follow(m.GetFrom())
	snapshot := m.GetSnapshot()
	if snapshot == nil || snapshot.GetIndex() <= r.log.commit {
		r.answerAppend(m, r.log.commit)
		return
	}
	if r.log.matches(snapshot.GetIndex(), snapshot.GetTerm()) {
		// The entries after the snapshot may have been acknowledged to the
		// leader and must be retained.
		r.log.commit = snapshot.GetIndex()
		r.answerAppend(m, snapshot.GetIndex())
		return
	}
	r.log.reset(snapshot)
	r.members = newMembership(PersistentState{Snapshot: snapshot})
	r.out.snapshot = snapshot
	r.answerAppend(m, snapshot.GetIndex())
}
