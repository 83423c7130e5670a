package quorum

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// ErrNotLeader means that the replica does not accept proposals: it is not the
// leader, or it is transferring the leadership.
var ErrNotLeader = errors.New("this replica is not the leader")

// Propose appends a command to the leader's log and returns its index and term.
// The command is committed only once Take returns it in Committed.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader || r.transfer.active() {
		return 0, 0, ErrNotLeader
	}
	e := r.appendEntry(&wire.LogEntry{Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
	return e.GetIndex(), e.GetTerm(), nil
}

func (r *Replica) appendEntry(e *wire.LogEntry) *wire.LogEntry {
	e.Index, e.Term = r.log.lastIndex()+1, r.term
	r.log.push(e)
	if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS {
		r.members.add(e.GetIndex(), e.GetMembers().GetMembers())
		r.syncPeers()
	}
	return e
}

// syncPeers adds progress records for new members and drops those of removed
// ones.
func (r *Replica) syncPeers() {
	if r.role != Leader {
		return
	}
	for id := range r.peers {
		if r.members.member(id) == nil {
			delete(r.peers, id)
		}
	}
	for _, id := range r.members.others(r.id) {
		if r.peers[id] == nil {
			r.peers[id] = &progress{next: r.log.lastIndex() + 1, state: probing, heartbeatDue: true}
		}
	}
}

func (r *Replica) scheduleHeartbeats() {
	for _, p := range r.peers {
		p.heartbeatDue = true
	}
}

// sendAppends sends entries and due heartbeats to all other members.
func (r *Replica) sendAppends() {
	for _, id := range r.members.others(r.id) {
		p := r.peers[id]
		for r.shouldSend(p) {
			r.sendAppend(id, p)
		}
	}
}

func (r *Replica) shouldSend(p *progress) bool {
	if p.heartbeatDue {
		return true
	}
	switch p.state {
	case probing:
		return !p.probeSent
	case replicating:
		hasRoom := p.next-p.match <= r.maxInFlight
		return hasRoom && (p.next <= r.log.lastIndex() || p.sentCommit < r.log.commit)
	}
	return false
}

func (r *Replica) sendAppend(id string, p *progress) {
	heartbeat := p.heartbeatDue
	p.heartbeatDue = false
	if p.state == snapshotting {
		r.awaitSnapshot(id, p)
		return
	}
	previous := p.next - 1
	term, ok := r.log.term(previous)
	if !ok {
		r.sendSnapshot(id, p)
		return
	}
	m := &wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_APPEND, To: id, Term: r.term, Index: previous, LogTerm: term,
		Commit: r.log.commit, Round: r.reads.round,
	}
	if p.state == replicating && (!heartbeat || p.next-p.match <= r.maxInFlight) {
		m.Entries = r.log.slice(p.next, r.maxBatchBytes)
		p.next += uint64(len(m.GetEntries()))
	}
	p.sentCommit = r.log.commit
	p.probeSent = true
	r.send(m)
}

func (r *Replica) sendSnapshot(id string, p *progress) {
	p.state, p.snapshotTicks, p.probeSent = snapshotting, 0, true
	r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_SNAPSHOT, To: id, Term: r.term})
}

// awaitSnapshot sends an empty append as a heartbeat, so that the replica does
// not start an election while it installs a snapshot. After a timeout it returns
// to probing.
func (r *Replica) awaitSnapshot(id string, p *progress) {
	p.snapshotTicks += r.heartbeatTicks
	if p.snapshotTicks > snapshotTimeouts*r.electionTicks {
		p.state, p.probeSent = probing, false
	}
	r.send(&wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_APPEND, To: id, Term: r.term, Index: 0, LogTerm: 0,
		Commit: p.match, Round: r.reads.round,
	})
}

func (r *Replica) handleAppendAnswer(m *wire.QuorumMessage) {
	p := r.peers[m.GetFrom()]
	if r.role != Leader || p == nil {
		return
	}
	p.ticksSinceAnswer, p.answered = 0, true
	p.round = max(p.round, m.GetRound())
	if m.GetReject() {
		p.reject(m.GetIndex(), m.GetHint())
		return
	}
	p.acknowledge(m.GetIndex(), r.log.offset)
	r.advanceCommit()
	r.continueTransfer()
}

// advanceCommit moves the commit index to the highest entry that is durable on
// a quorum of voters. Entries of earlier terms are committed only indirectly,
// through an entry of the current term: a later leader may still overwrite them
// even if they are replicated on a quorum (Raft, section 5.4.2).
func (r *Replica) advanceCommit() {
	var matchIndexes []uint64
	for _, id := range r.members.voters() {
		switch {
		case id == r.id:
			matchIndexes = append(matchIndexes, r.log.stable)
		default:
			matchIndexes = append(matchIndexes, r.peers[id].match)
		}
	}
	slices.Sort(matchIndexes)
	if len(matchIndexes) == 0 {
		return
	}
	index := matchIndexes[(len(matchIndexes)-1)/2]
	if term, ok := r.log.term(index); index > r.log.commit && ok && term == r.term {
		r.log.commit = index
	}
}
