// Package quorum is the replicated log of the control hosts as a pure step
// function: it reads no clock, opens no socket and writes no file. Ticks and
// messages go in; what must be made durable, sent and applied comes out.
//
// The protocol has terms with at most one leader each, a pre-vote round, a
// leader that steps down when it no longer hears a quorum, commits by a quorum
// of voters, leadership transfer, confirmed reads, snapshots for replicas that
// are far behind, learners, and changes of membership by one replica at a
// time. A replica is named by the identity of its data folder, so that a host
// that lost its disk cannot vote in the name of the replica it once was.
//
// Usage:
//
//	replica := quorum.New(identity, saved, quorum.WithElectionTicks(12))
//	replica.Tick()
//	replica.Step(message)
//	for {
//		out := replica.Take()
//		if out.Empty() {
//			break
//		}
//		send(out.Early())
//		write(out.Vote(), out.Snapshot(), out.Entries()) // and sync
//		replica.Persisted()
//		send(out.Messages())
//		apply(out.Committed())
//	}
package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// Role is what a replica does in the current term.
type Role string

// Roles of a replica.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// PersistentState is the durable state that a replica starts from.
type PersistentState struct {
	Vote     *wire.SavedVote
	Snapshot *wire.LogSnapshot // the state is not needed here
	Entries  []*wire.LogEntry
}

// Replica is one member of the group. It is used by one goroutine.
type Replica struct {
	options
	id     string
	term   uint64
	vote   string
	role   Role
	leader string

	log     entryLog
	members membership

	elapsed          int // ticks since the leader was heard, or since a transfer began
	timeout          int // ticks until the next election, drawn anew each time
	heartbeatElapsed int
	random           uint64

	votes    map[string]bool
	peers    map[string]*progress
	reads    readQueue
	transfer transfer

	out       Output
	voteDirty bool
}

// New returns a replica with the given identity.
func New(id string, saved PersistentState, opts ...Option) *Replica {
	r := &Replica{options: defaultOptions(), id: id, role: Follower}
	for _, opt := range opts {
		opt(&r.options)
	}
	r.random = r.seed | 1
	r.term, r.vote = saved.Vote.GetTerm(), saved.Vote.GetVote()
	r.log = newEntryLog(saved)
	r.members = newMembership(saved)
	r.resetTimeout()
	return r
}

// ID returns the replica's identity.
func (r *Replica) ID() string { return r.id }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// Role returns what the replica does in the current term.
func (r *Replica) Role() Role { return r.role }

// Leader returns the identity of the current leader, empty if unknown.
func (r *Replica) Leader() string { return r.leader }

// CommitIndex returns the index of the last entry known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.log.commit }

// AppliedIndex returns the index of the last entry handed out to be applied.
func (r *Replica) AppliedIndex() uint64 { return r.log.applied }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// Tick tells the replica that one tick has passed.
func (r *Replica) Tick() {
	r.elapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if !r.members.isVoter(r.id) {
		return
	}
	if r.elapsed >= r.timeout || r.members.isOnlyVoter(r.id) {
		r.campaign()
		return
	}
	if r.role == PreCandidate && r.elapsed%r.heartbeatTicks == 0 {
		r.requestVotes(wire.QuorumKind_QUORUM_PRE_VOTE, r.term+1, false)
	}
}

func (r *Replica) tickLeader() {
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.heartbeatTicks {
		r.heartbeatElapsed = 0
		r.requestHeartbeats()
	}
	for _, p := range r.peers {
		p.silent++
	}
	if r.elapsed >= r.electionTicks {
		r.transfer.clear()
	}
	if !r.heardQuorum() {
		r.becomeFollower(r.term, "")
	}
}

// Step takes one message of another replica.
func (r *Replica) Step(m *wire.QuorumMessage) {
	if m.GetTo() != r.id || m.GetFrom() == r.id {
		return
	}
	switch {
	case m.GetTerm() > r.term:
		if !r.stepNewerTerm(m) {
			return
		}
	case m.GetTerm() < r.term:
		r.stepOlderTerm(m)
		return
	}
	switch m.GetKind() {
	case wire.QuorumKind_QUORUM_PRE_VOTE:
		r.answerPreVote(m)
	case wire.QuorumKind_QUORUM_VOTE:
		r.answerVote(m)
	case wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER, wire.QuorumKind_QUORUM_VOTE_ANSWER:
		r.countVote(m)
	case wire.QuorumKind_QUORUM_APPEND:
		r.handleAppend(m)
	case wire.QuorumKind_QUORUM_APPEND_ANSWER:
		r.handleAppendAnswer(m)
	case wire.QuorumKind_QUORUM_SNAPSHOT:
		r.handleSnapshot(m)
	case wire.QuorumKind_QUORUM_TIMEOUT_NOW:
		r.handleTimeoutNow(m)
	}
}

// stepNewerTerm adopts the term of a message where its kind asks for it. It
// reports whether the message is to be handled further.
func (r *Replica) stepNewerTerm(m *wire.QuorumMessage) bool {
	switch m.GetKind() {
	case wire.QuorumKind_QUORUM_PRE_VOTE:
		return !r.leaderHeard()
	case wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER:
		if m.GetReject() {
			r.becomeFollower(m.GetTerm(), "")
		}
		return !m.GetReject()
	case wire.QuorumKind_QUORUM_VOTE:
		if r.leaderHeard() && !m.GetTransfer() {
			return false
		}
	}
	r.becomeFollower(m.GetTerm(), "")
	return true
}

// stepOlderTerm lets a deposed leader or a late candidate learn the term.
func (r *Replica) stepOlderTerm(m *wire.QuorumMessage) {
	switch m.GetKind() {
	case wire.QuorumKind_QUORUM_APPEND, wire.QuorumKind_QUORUM_SNAPSHOT:
		r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, To: m.GetFrom(), Term: r.term, Reject: true})
	case wire.QuorumKind_QUORUM_PRE_VOTE:
		r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER, To: m.GetFrom(), Term: r.term, Reject: true})
	}
}

// leaderHeard reports whether a leader was heard within the election timeout.
func (r *Replica) leaderHeard() bool {
	return r.role == Leader || (r.leader != "" && r.elapsed < r.electionTicks)
}

func (r *Replica) becomeFollower(term uint64, leader string) {
	if r.role == Leader {
		r.reads.failAll(&r.out)
	}
	if term > r.term {
		r.term, r.vote = term, ""
		r.voteDirty = true
	}
	r.role, r.leader = Follower, leader
	r.votes, r.peers = nil, nil
	r.transfer.clear()
	r.resetTimeout()
}

// resetTimeout draws the next election timeout from one to two times the
// election ticks.
func (r *Replica) resetTimeout() {
	r.elapsed = 0
	r.random ^= r.random << 13
	r.random ^= r.random >> 7
	r.random ^= r.random << 17
	r.timeout = r.electionTicks + int(r.random%uint64(r.electionTicks))
}

// send queues a message that may leave once the writes before it are durable.
func (r *Replica) send(m *wire.QuorumMessage) {
	m.From = r.id
	r.out.messages = append(r.out.messages, m)
}
