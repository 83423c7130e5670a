package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// campaign asks the voters whether they would vote for this replica, without
// raising the term: a replica that was cut off does not disturb the others.
func (r *Replica) campaign() {
	r.role, r.leader = PreCandidate, ""
	r.resetTimeout()
	r.votes = map[string]bool{r.id: true}
	if r.wonVotes() {
		r.candidate(false)
		return
	}
	r.requestVotes(wire.QuorumKind_QUORUM_PRE_VOTE, r.term+1, false)
}

// candidate starts an election in a new term.
func (r *Replica) candidate(transferred bool) {
	r.role, r.leader = Candidate, ""
	r.term++
	r.vote = r.id
	r.voteDirty = true
	r.resetTimeout()
	r.votes = map[string]bool{r.id: true}
	if r.wonVotes() {
		r.becomeLeader()
		return
	}
	r.requestVotes(wire.QuorumKind_QUORUM_VOTE, r.term, transferred)
}

func (r *Replica) requestVotes(kind wire.QuorumKind, term uint64, transferred bool) {
	for _, id := range r.members.voters() {
		if id == r.id {
			continue
		}
		r.send(&wire.QuorumMessage{
			Kind: kind, To: id, Term: term, Transfer: transferred,
			Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
		})
	}
}

func (r *Replica) wonVotes() bool {
	return r.members.isQuorum(func(id string) bool { return r.votes[id] })
}

func (r *Replica) answerPreVote(m *wire.QuorumMessage) {
	granted := m.GetTerm() > r.term && r.log.upToDate(m.GetIndex(), m.GetLogTerm())
	answer := &wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER, To: m.GetFrom(), Term: r.term, Reject: !granted,
	}
	if granted {
		answer.Term = m.GetTerm()
	}
	r.send(answer)
}

func (r *Replica) answerVote(m *wire.QuorumMessage) {
	granted := (r.vote == "" || r.vote == m.GetFrom()) && r.role != Candidate && r.role != Leader && r.log.upToDate(m.GetIndex(), m.GetLogTerm())
	if granted {
		if r.vote == "" {
			r.vote = m.GetFrom()
			r.voteDirty = true
		}
		r.role, r.elapsed = Follower, 0
	}
	r.send(&wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_VOTE_ANSWER, To: m.GetFrom(), Term: r.term, Reject: !granted,
	})
}

// countVote counts an answer to the pre-vote or the vote that is going on.
func (r *Replica) countVote(m *wire.QuorumMessage) {
	switch {
	case m.GetReject():
	case r.role == PreCandidate && m.GetKind() == wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER && m.GetTerm() == r.term+1:
		r.votes[m.GetFrom()] = true
		if r.wonVotes() {
			r.candidate(false)
		}
	case r.role == Candidate && m.GetKind() == wire.QuorumKind_QUORUM_VOTE_ANSWER && m.GetTerm() == r.term:
		r.votes[m.GetFrom()] = true
		if r.wonVotes() {
			r.becomeLeader()
		}
	}
}

func (r *Replica) becomeLeader() {
	r.role, r.leader = Leader, r.id
	r.elapsed, r.heartbeatElapsed = 0, 0
	r.votes = nil
	r.reads = readQueue{}
	r.peers = map[string]*progress{}
	r.syncPeers()
	r.appendEntry(&wire.LogEntry{Kind: wire.EntryKind_ENTRY_EMPTY})
	r.requestHeartbeats()
}

// heardQuorum reports whether a quorum answered within the election timeout.
func (r *Replica) heardQuorum() bool {
	return r.members.isQuorum(func(id string) bool { return id == r.id || r.isActive(r.peers[id]) })
}

func (r *Replica) isActive(p *progress) bool { return p != nil && p.silent < r.electionTicks }
