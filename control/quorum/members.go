package quorum

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Roles of a member.
const (
	Voter   = "voter"
	Learner = "learner"
)

// Errors of a change of membership.
var (
	ErrChangePending  = errors.New("another change of membership is not committed yet")
	ErrNotReady       = errors.New("the leader has not committed an entry of its term yet")
	ErrMember         = errors.New("the identity is a member already")
	ErrNotMember      = errors.New("the identity is not a member")
	ErrNotLearner     = errors.New("the member is not a learner")
	ErrNotCaughtUp    = errors.New("the learner has not caught up yet")
	ErrNoActiveQuorum = errors.New("too few voters of the new membership answer, it would have no quorum")
	ErrRemovesLeader  = errors.New("the leader cannot remove itself, transfer the leadership first")
)

// membership is the newest membership of the log and those it replaced.
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

// truncate forgets the memberships of entries from an index on.
func (m *membership) truncate(from uint64) {
	for len(m.history) > 1 && m.newest().index >= from {
		m.history = m.history[:len(m.history)-1]
	}
}

// compact forgets memberships that were replaced at or before an index.
func (m *membership) compact(upTo uint64) {
	for len(m.history) > 1 && m.history[1].index <= upTo {
		m.history = m.history[1:]
	}
}

// at returns the membership that an index was covered by.
func (m *membership) at(index uint64) []*wire.Member {
	members := m.history[0].members
	for _, one := range m.history {
		if one.index <= index {
			members = one.members
		}
	}
	return members
}

func (m *membership) member(id string) *wire.Member {
	for _, one := range m.newest().members {
		if one.GetIdentity() == id {
			return one
		}
	}
	return nil
}

func (m *membership) isVoter(id string) bool { return m.member(id).GetRole() == Voter }

// isOnlyVoter reports whether a replica needs no other one's vote.
func (m *membership) isOnlyVoter(id string) bool {
	voters := m.voters()
	return len(voters) == 1 && voters[0] == id
}

func (m *membership) voters() []string {
	var ids []string
	for _, one := range m.newest().members {
		if one.GetRole() == Voter {
			ids = append(ids, one.GetIdentity())
		}
	}
	return ids
}

func (m *membership) others(self string) []string {
	var ids []string
	for _, one := range m.newest().members {
		if one.GetIdentity() != self {
			ids = append(ids, one.GetIdentity())
		}
	}
	return ids
}

// isQuorum reports whether more than half of the voters satisfy a condition.
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

// Members returns the newest membership that this replica knows.
func (r *Replica) Members() []*wire.Member { return r.members.newest().members }

// MatchIndex returns the last entry that a member is known to hold, and whether it
// was heard lately. Only the leader knows.
func (r *Replica) MatchIndex(id string) (index uint64, active bool) {
	if id == r.id {
		return r.log.stable, true
	}
	if p := r.peers[id]; p != nil {
		return p.match, r.isActive(p)
	}
	return 0, false
}

// AddLearner proposes a new member that receives the log and has no vote.
func (r *Replica) AddLearner(m *wire.Member) (index, term uint64, err error) {
	if r.members.member(m.GetIdentity()) != nil {
		return 0, 0, ErrMember
	}
	learner := &wire.Member{Name: m.GetName(), Address: m.GetAddress(), Identity: m.GetIdentity(), Role: Learner}
	return r.change(append(r.copyMembers(), learner))
}

// Promote proposes to give a learner that has caught up a vote.
func (r *Replica) Promote(id string) (index, term uint64, err error) {
	if r.members.member(id) == nil {
		return 0, 0, ErrNotMember
	}
	if r.members.isVoter(id) {
		return 0, 0, ErrNotLearner
	}
	if p := r.peers[id]; p == nil || p.match+r.maxPromotionLag < r.log.commit || p.match == 0 || p.sending != replicating {
		return 0, 0, ErrNotCaughtUp
	}
	members := r.copyMembers()
	for _, one := range members {
		if one.GetIdentity() == id {
			one.Role = Voter
		}
	}
	return r.change(members)
}

// Remove proposes to remove a member.
func (r *Replica) Remove(id string) (index, term uint64, err error) {
	if id == r.id {
		return 0, 0, ErrRemovesLeader
	}
	if r.members.member(id) == nil {
		return 0, 0, ErrNotMember
	}
	var members []*wire.Member
	for _, one := range r.copyMembers() {
		if one.GetIdentity() != id {
			members = append(members, one)
		}
	}
	return r.change(members)
}

func (r *Replica) copyMembers() []*wire.Member {
	var members []*wire.Member
	for _, one := range r.members.newest().members {
		members = append(members, proto.Clone(one).(*wire.Member))
	}
	return members
}

// change proposes a membership that differs from the last one by one replica.
func (r *Replica) change(members []*wire.Member) (index, term uint64, err error) {
	switch {
	case r.role != Leader || r.transfer.active():
		return 0, 0, ErrNotLeader
	case !r.committedInTerm():
		return 0, 0, ErrNotReady
	case r.members.newest().index > r.log.commit:
		return 0, 0, ErrChangePending
	case !r.wouldHaveQuorum(members):
		return 0, 0, ErrNoActiveQuorum
	}
	e := r.appendEntry(&wire.LogEntry{Kind: wire.EntryKind_ENTRY_MEMBERS, Members: &wire.Members{Members: members}})
	return e.GetIndex(), e.GetTerm(), nil
}

// wouldHaveQuorum reports whether a quorum of a membership answers now.
func (r *Replica) wouldHaveQuorum(members []*wire.Member) bool {
	next := membership{history: []membersAt{{members: members}}}
	return next.isQuorum(func(id string) bool { return id == r.id || r.isActive(r.peers[id]) })
}
