package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// campaign starts a pre-vote round. It does not increment the term, so that a
// replica that returns from a network partition does not force an election.
func (r *Replica) campaign() {
	r.role, r.leader = PreCandidate, ""
	r.resetTimeout()
	r.votes = map[string]bool{r.id: true}
	if r.wonVotes() {
		r.becomeCandidate(false)
		return
	}
	r.requestVotes(wire.QuorumKind_QUORUM_PRE_VOTE, r.term+1, false)
}

// becomeCandidate increments the term and starts an election. If transferred is
// set, voters handle the request even though their leader is still active.
func (r *Replica) becomeCandidate(transferred bool) {
	r.role, r.leader = Candidate, ""
	r.term++
	r.vote = r.id
	r.voteDirty = true
	r.resetTimeout()
	r.votes, r.invited = map[string]bool{r.id: true}, transferred
	if r.wonVotes() {
		r.becomeLeader()
		return
	}
	r.requestVotes(wire.QuorumKind_QUORUM_VOTE, r.term, transferred)
}

// repeatVoteRequests asks the voters that have not granted their vote again, as the request or
// its answer may be lost.
func (r *Replica) repeatVoteRequests() {
	switch r.role {
	case PreCandidate:
		r.requestVotes(wire.QuorumKind_QUORUM_PRE_VOTE, r.term+1, false)
	case Candidate:
		r.requestVotes(wire.QuorumKind_QUORUM_VOTE, r.term, r.invited)
	}
}

func (r *Replica) requestVotes(kind wire.QuorumKind, term uint64, transferred bool) {
	for _, id := range r.members.voters() {
		if r.votes[id] {
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

// handlePreVote grants a pre-vote. Of two pre-candidates, the one with the lower identity yields:
// if both went on, each would vote for itself.
func (r *Replica) handlePreVote(m *wire.QuorumMessage) {
	granted := m.GetTerm() > r.term && r.log.upToDate(m.GetIndex(), m.GetLogTerm())
	if granted && r.role == PreCandidate && r.id < m.GetFrom() {
		r.becomeFollower(r.term, "")
	}
	answer := &wire.QuorumMessage{
		Kind: wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER, To: m.GetFrom(), Term: r.term, Reject: !granted,
	}
	if granted {
		answer.Term = m.GetTerm()
	}
	r.send(answer)
}

func (r *Replica) handleVote(m *wire.QuorumMessage) {
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

// countVote counts a granted vote for the current pre-vote or election.
func (r *Replica) countVote(m *wire.QuorumMessage) {
	switch {
	case m.GetReject():
	case r.role == PreCandidate && m.GetKind() == wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER && m.GetTerm() == r.term+1:
		r.votes[m.GetFrom()] = true
		if r.wonVotes() {
			r.becomeCandidate(false)
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
	r.scheduleHeartbeats()
}

// hasActiveQuorum reports whether a quorum of voters, including this replica,
// answered within the election timeout.
func (r *Replica) hasActiveQuorum() bool {
	return r.members.isQuorum(func(id string) bool { return id == r.id || r.isActive(r.peers[id]) })
}

func (r *Replica) isActive(p *progress) bool { return p != nil && p.ticksSinceAnswer < r.electionTicks }
