package quorum

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Membership roles.
const (
	Voter   = "voter"
	Learner = "learner"
)

// Errors returned for a membership change.
var (
	ErrChangePending  = errors.New("another membership change is not committed yet")
	ErrNoCommitInTerm = errors.New("the leader has not committed an entry in its term yet")
	ErrAlreadyMember  = errors.New("the identity is already a member")
	ErrNotMember      = errors.New("the identity is not a member")
	ErrNotLearner     = errors.New("the member is not a learner")
	ErrNotCaughtUp    = errors.New("the learner has not caught up yet")
	ErrNoActiveQuorum = errors.New("too few voters of the new membership are reachable for a quorum")
	ErrRemovesLeader  = errors.New("the leader cannot remove itself; transfer the leadership first")
)

// membership holds the memberships in the log. The newest one is in effect as
// soon as it is appended, committed or not; older ones are kept for truncation
// and for snapshots.
type membership struct {
	history []membersAt // oldest first, never empty
}

type membersAt struct {
	index   uint64
	members []*wire.Member
}

func newMembership(saved PersistentState) membership {
	m := membership{history: []membersAt{{index: saved.Snapshot.GetIndex(), members: saved.Snapshot.GetMembers().GetMembers()}}}
	for _, e := range saved.Entries {
		if e.GetKind() == wire.EntryKind_ENTRY_MEMBERS && e.GetIndex() > saved.Snapshot.GetIndex() {
			m.add(e.GetIndex(), e.GetMembers().GetMembers())
		}
	}
	return m
}

func (m *membership) newest() membersAt { return m.history[len(m.history)-1] }

func (m *membership) add(index uint64, members []*wire.Member) {
	m.history = append(m.history, membersAt{index: index, members: members})
}

// truncate drops the memberships of entries with an index of from or higher.
func (m *membership) truncate(from uint64) {
	for len(m.history) > 1 && m.newest().index >= from {
		m.history = m.history[:len(m.history)-1]
	}
}

// compact drops memberships that were superseded at or before an index.
func (m *membership) compact(upTo uint64) {
	for len(m.history) > 1 && m.history[1].index <= upTo {
		m.history = m.history[1:]
	}
}

// at returns the membership in effect at an index.
func (m *membership) at(index uint64) []*wire.Member {
	members := m.history[0].members
	for _, entry := range m.history {
		if entry.index <= index {
			members = entry.members
		}
	}
	return members
}

func (m *membership) member(id string) *wire.Member {
	for _, member := range m.newest().members {
		if member.GetIdentity() == id {
			return member
		}
	}
	return nil
}

func (m *membership) isVoter(id string) bool { return m.member(id).GetRole() == Voter }

// isOnlyVoter reports whether a replica is the only voter and thus a quorum.
func (m *membership) isOnlyVoter(id string) bool {
	voters := m.voters()
	return len(voters) == 1 && voters[0] == id
}

func (m *membership) voters() []string {
	var ids []string
	for _, member := range m.newest().members {
		if member.GetRole() == Voter {
			ids = append(ids, member.GetIdentity())
		}
	}
	return ids
}

func (m *membership) others(self string) []string {
	var ids []string
	for _, member := range m.newest().members {
		if member.GetIdentity() != self {
			ids = append(ids, member.GetIdentity())
		}
	}
	return ids
}

// isQuorum reports whether a majority of the voters satisfies a condition.
func (m *membership) isQuorum(satisfies func(id string) bool) bool {
	voters := m.voters()
	n := 0
	for _, id := range voters {
		if satisfies(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// Members returns the newest membership in the local log, which may not be
// committed. It must not be modified.
func (r *Replica) Members() []*wire.Member { return r.members.newest().members }

// MatchIndex returns the last log index known to be durable on a member, and
// whether the member answered within the election timeout. On replicas other than
// the leader it returns values for the replica itself only.
func (r *Replica) MatchIndex(id string) (index uint64, active bool) {
	if id == r.id {
		return r.log.stable, true
	}
	if p := r.peers[id]; p != nil {
		return p.match, r.isActive(p)
	}
	return 0, false
}

// HasAnswered reports whether a member has answered since this replica became the leader.
func (r *Replica) HasAnswered(id string) bool {
	if id == r.id {
		return true
	}
	p := r.peers[id]
	return p != nil && p.answered
}

// AddLearner proposes to add a member that replicates the log without a vote.
func (r *Replica) AddLearner(m *wire.Member) (index, term uint64, err error) {
	if r.members.member(m.GetIdentity()) != nil {
		return 0, 0, ErrAlreadyMember
	}
	learner := &wire.Member{Name: m.GetName(), Address: m.GetAddress(), Identity: m.GetIdentity(), Role: Learner}
	return r.proposeMembers(append(r.copyMembers(), learner))
}

// Promote proposes to make a caught-up learner a voter.
func (r *Replica) Promote(id string) (index, term uint64, err error) {
	if r.members.member(id) == nil {
		return 0, 0, ErrNotMember
	}
	if r.members.isVoter(id) {
		return 0, 0, ErrNotLearner
	}
	if p := r.peers[id]; p == nil || p.match+r.maxPromotionLag < r.log.commit || p.match == 0 || p.state != replicating {
		return 0, 0, ErrNotCaughtUp
	}
	members := r.copyMembers()
	for _, member := range members {
		if member.GetIdentity() == id {
			member.Role = Voter
		}
	}
	return r.proposeMembers(members)
}

// Remove proposes to remove a member other than the leader.
func (r *Replica) Remove(id string) (index, term uint64, err error) {
	if id == r.id {
		return 0, 0, ErrRemovesLeader
	}
	if r.members.member(id) == nil {
		return 0, 0, ErrNotMember
	}
	var members []*wire.Member
	for _, member := range r.copyMembers() {
		if member.GetIdentity() != id {
			members = append(members, member)
		}
	}
	return r.proposeMembers(members)
}

func (r *Replica) copyMembers() []*wire.Member {
	var members []*wire.Member
	for _, member := range r.members.newest().members {
		members = append(members, proto.Clone(member).(*wire.Member))
	}
	return members
}

// proposeMembers appends a membership that differs from the current one by a
// single replica. Quorums of the two overlap, so no joint consensus is needed.
func (r *Replica) proposeMembers(members []*wire.Member) (index, term uint64, err error) {
	switch {
	case r.role != Leader || r.transfer.active():
		return 0, 0, ErrNotLeader
	case !r.committedInTerm():
		return 0, 0, ErrNoCommitInTerm
	case r.members.newest().index > r.log.commit:
		return 0, 0, ErrChangePending
	case !r.wouldHaveQuorum(members):
		return 0, 0, ErrNoActiveQuorum
	}
	e := r.appendEntry(&wire.LogEntry{Kind: wire.EntryKind_ENTRY_MEMBERS, Members: &wire.Members{Members: members}})
	return e.GetIndex(), e.GetTerm(), nil
}

// wouldHaveQuorum reports whether a quorum of the proposed voters is active.
func (r *Replica) wouldHaveQuorum(members []*wire.Member) bool {
	next := membership{history: []membersAt{{members: members}}}
	return next.isQuorum(func(id string) bool { return id == r.id || r.isActive(r.peers[id]) })
}
