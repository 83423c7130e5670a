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
		return r.canSendEntries(p) || p.sentCommit < min(r.log.commit, p.match)
	}
	return false
}

func (r *Replica) canSendEntries(p *progress) bool {
	return p.state == replicating && p.next <= r.log.lastIndex() && p.next-p.match <= r.maxInFlight
}

func (r *Replica) sendAppend(id string, p *progress) {
	heartbeat := p.heartbeatDue
	p.heartbeatDue = false
	if p.state == snapshotting {
		r.awaitSnapshot(id, p)
		return
	}
	if p.hasInFlight() && (heartbeat || !r.canSendEntries(p)) {
		r.sendBesideEntries(id, p)
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
	if !heartbeat && r.canSendEntries(p) {
		m.Entries = r.log.slice(p.next, r.maxBatchBytes)
		p.next += uint64(len(m.GetEntries()))
	}
	p.sentCommit = min(r.log.commit, p.next-1)
	p.probeSent = true
	r.send(m)
}

// sendBesideEntries sends an append without entries at the last index that is known to be durable
// on the member. It may overtake entries in flight and is not rejected for that.
func (r *Replica) sendBesideEntries(id string, p *progress) {
	m := &wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_APPEND, To: id, Term: r.term, Round: r.reads.round}
	if term, ok := r.log.term(p.match); ok {
		m.Index, m.LogTerm, m.Commit = p.match, term, r.log.commit
	}
	p.sentCommit = max(p.sentCommit, min(r.log.commit, p.match))
	r.send(m)
}

// SnapshotLost tells that a snapshot that was sent to a member may not arrive, so that it is sent
// again without a wait for its acknowledgement.
func (r *Replica) SnapshotLost(id string) {
	if p := r.peers[id]; p != nil && p.state == snapshotting {
		p.state, p.probeSent = probing, false
	}
}

// SendsSnapshot reports whether a member that answers is being sent a snapshot.
func (r *Replica) SendsSnapshot() bool {
	for _, p := range r.peers {
		if p.state == snapshotting && r.isActive(p) {
			return true
		}
	}
	return false
}

// EntriesInTransit tells that entries that were sent to a member are still on their way, so that
// they are not sent again yet.
func (r *Replica) EntriesInTransit(id string) {
	if p := r.peers[id]; p != nil {
		p.ticksUnacked = 0
	}
}

// EntriesLost tells that entries that were sent to a member may not arrive.
func (r *Replica) EntriesLost(id string) {
	if p := r.peers[id]; p != nil {
		p.resend()
	}
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
