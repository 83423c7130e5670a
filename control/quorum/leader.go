package quorum

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// ErrNotLeader means that the replica takes no proposals now.
var ErrNotLeader = errors.New("this replica is not the leader")

// Propose appends a command to the log and returns its index and term.
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

// syncPeers makes the known progress fit the membership.
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
			r.peers[id] = &progress{next: r.log.lastIndex() + 1, sending: probing, heartbeat: true}
		}
	}
}

func (r *Replica) requestHeartbeats() {
	for _, p := range r.peers {
		p.heartbeat = true
	}
}

// sendAppends sends each replica what it lacks.
func (r *Replica) sendAppends() {
	for _, id := range r.members.others(r.id) {
		p := r.peers[id]
		for r.due(p) {
			r.sendAppend(id, p)
		}
	}
}

func (r *Replica) due(p *progress) bool {
	if p.heartbeat {
		return true
	}
	switch p.sending {
	case probing:
		return !p.probed
	case replicating:
		room := p.next-p.match <= r.maxInFlight
		return room && (p.next <= r.log.lastIndex() || p.sentCommit < r.log.commit)
	}
	return false
}

func (r *Replica) sendAppend(id string, p *progress) {
	heartbeat := p.heartbeat
	p.heartbeat = false
	if p.sending == snapshotting {
		r.awaitSnapshot(id, p)
		return
	}
	previous := p.next - 1
	term, known := r.log.term(previous)
	if !known {
		r.sendSnapshot(id, p)
		return
	}
	m := &wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_APPEND, To: id, Term: r.term, Index: previous, LogTerm: term,
		Commit: r.log.commit, Round: r.reads.round,
	}
	if p.sending == replicating && (!heartbeat || p.next-p.match <= r.maxInFlight) {
		m.Entries = r.log.slice(p.next, r.maxBatchBytes)
		p.next += uint64(len(m.GetEntries()))
	}
	p.sentCommit = r.log.commit
	p.probed = true
	r.send(m)
}

func (r *Replica) sendSnapshot(id string, p *progress) {
	p.sending, p.waited, p.probed = snapshotting, 0, true
	r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_SNAPSHOT, To: id, Term: r.term})
}

// awaitSnapshot keeps the replica from calling an election while it installs.
func (r *Replica) awaitSnapshot(id string, p *progress) {
	p.waited += r.heartbeatTicks
	if p.waited > snapshotTimeouts*r.electionTicks {
		p.sending, p.probed = probing, false
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
	p.silent = 0
	p.round = max(p.round, m.GetRound())
	if m.GetReject() {
		p.rejected(m.GetIndex(), m.GetHint())
		return
	}
	p.acknowledged(m.GetIndex(), r.log.offset)
	r.advanceCommit()
	r.continueTransfer()
}

// advanceCommit commits what a quorum holds. Entries of older terms are only
// committed together with one of the current term: counting copies alone does
// not protect them from a later leader.
func (r *Replica) advanceCommit() {
	var held []uint64
	for _, id := range r.members.voters() {
		switch {
		case id == r.id:
			held = append(held, r.log.stable)
		default:
			held = append(held, r.peers[id].match)
		}
	}
	slices.Sort(held)
	if len(held) == 0 {
		return
	}
	index := held[(len(held)-1)/2]
	if term, ok := r.log.term(index); index > r.log.commit && ok && term == r.term {
		r.log.commit = index
	}
}
