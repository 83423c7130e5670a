// Package quorum implements the replicated log of the control hosts with a
// Raft-like consensus protocol. It is a pure step function that does no I/O and
// reads no clock: its inputs are ticks and messages, its outputs the writes to
// persist, the messages to send and the entries to apply.
//
// Each term has at most one leader. The protocol has a pre-vote round, a leader
// that steps down when it loses contact with a quorum, commitment by a quorum of
// voters, leadership transfer, linearizable reads by read index, snapshots for
// replicas that lag far behind, learners, and single-server membership changes.
// A replica is identified by the identity of its data folder, not by the host
// name, so that a host whose disk was replaced cannot vote a second time as the
// replica it was before.
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
//		send(out.EarlyMessages())
//		write(out.Vote(), out.Snapshot(), out.Entries()) // and sync
//		replica.Persisted()
//		send(out.Messages())
//		apply(out.Committed())
//	}
package quorum

import (
	"github.com/snipebeam/snipebeam/world/wire"
)

// Role is the role of a replica in the current term.
type Role string

// Replica roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// PersistentState is the durable state from which a replica is started.
type PersistentState struct {
	Vote     *wire.SavedVote
	Snapshot *wire.LogSnapshot // only the metadata is used
	Entries  []*wire.LogEntry
}

// Replica is one member of the consensus group. It is not safe for concurrent
// use.
type Replica struct {
	options
	id     string
	term   uint64
	vote   string
	role   Role
	leader string

	log     entryLog
	members membership

	elapsed          int // ticks since contact with the leader, or on the leader since a transfer began
	timeout          int // randomized election timeout in ticks
	heartbeatElapsed int
	random           uint64

	votes    map[string]bool
	invited  bool // the candidacy was asked for by the leader
	peers    map[string]*progress
	reads    readQueue
	transfer transfer

	out       Output
	voteDirty bool
}

// New returns a follower with the given identity that continues from the saved
// state.
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

// ID returns the identity of the replica.
func (r *Replica) ID() string { return r.id }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// Role returns the role of the replica in the current term.
func (r *Replica) Role() Role { return r.role }

// Leader returns the identity of the current leader, or an empty string if it
// is unknown.
func (r *Replica) Leader() string { return r.leader }

// CommitIndex returns the index of the last entry known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.log.commit }

// AppliedIndex returns the index of the last entry that Take returned for
// application.
func (r *Replica) AppliedIndex() uint64 { return r.log.applied }

// LastIndex returns the index of the last entry in the log.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// Tick advances the logical clock by one tick.
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
	if r.elapsed%r.heartbeatTicks == 0 {
		r.repeatVoteRequests()
	}
}

func (r *Replica) tickLeader() {
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.heartbeatTicks {
		r.heartbeatElapsed = 0
		r.scheduleHeartbeats()
	}
	for _, p := range r.peers {
		p.tick(r.electionTicks)
	}
	if r.elapsed >= r.electionTicks {
		r.transfer.clear()
	}
	if !r.hasActiveQuorum() {
		r.becomeFollower(r.term, "")
	}
}

// Step handles a message from another replica. Messages to other recipients and malformed
// ones are ignored.
func (r *Replica) Step(m *wire.QuorumMessage) {
	if m.GetTo() != r.id || m.GetFrom() == r.id || !r.wellFormed(m) {
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
		r.handlePreVote(m)
	case wire.QuorumKind_QUORUM_VOTE:
		r.handleVote(m)
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

// stepNewerTerm handles the term of a message from a newer term. It becomes a
// follower in that term, except for pre-votes, granted pre-votes, and vote requests
// that arrive while a leader is active and are not part of a transfer. It reports
// whether the message needs further handling.
func (r *Replica) stepNewerTerm(m *wire.QuorumMessage) bool {
	switch m.GetKind() {
	case wire.QuorumKind_QUORUM_PRE_VOTE:
		return !r.hasActiveLeader()
	case wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER:
		if m.GetReject() {
			r.becomeFollower(m.GetTerm(), "")
		}
		return !m.GetReject()
	case wire.QuorumKind_QUORUM_VOTE:
		if r.hasActiveLeader() && !m.GetTransfer() {
			return false
		}
	}
	r.becomeFollower(m.GetTerm(), "")
	return true
}

// stepOlderTerm answers a message from an older term, so that a deposed leader or
// a pre-candidate learns the current term.
func (r *Replica) stepOlderTerm(m *wire.QuorumMessage) {
	switch m.GetKind() {
	case wire.QuorumKind_QUORUM_APPEND, wire.QuorumKind_QUORUM_SNAPSHOT:
		r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_APPEND_ANSWER, To: m.GetFrom(), Term: r.term, Reject: true})
	case wire.QuorumKind_QUORUM_PRE_VOTE:
		r.send(&wire.QuorumMessage{Kind: wire.QuorumKind_QUORUM_PRE_VOTE_ANSWER, To: m.GetFrom(), Term: r.term, Reject: true})
	}
}

// hasActiveLeader reports whether this replica leads or had contact with the leader
// within the election timeout.
func (r *Replica) hasActiveLeader() bool {
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

// resetTimeout restarts the election timer with a random timeout between one and
// two times electionTicks.
func (r *Replica) resetTimeout() {
	r.elapsed = 0
	r.random ^= r.random << 13
	r.random ^= r.random >> 7
	r.random ^= r.random << 17
	r.timeout = r.electionTicks + int(r.random%uint64(r.electionTicks))
}

// send queues a message to be sent once the preceding writes are durable.
func (r *Replica) send(m *wire.QuorumMessage) {
	m.From = r.id
	r.out.messages = append(r.out.messages, m)
}
