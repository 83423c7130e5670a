// Package agreement defines the interface between the replicated log and its
// users: the operator and entry services propose commands and confirm that the
// state they read is current, independently of the consensus implementation.
//
// Usage:
//
//	result, err := log.Propose(ctx, command)
//	if err := log.Confirm(ctx); err != nil { /* mark the response as stale */ }
package agreement

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Errors of a log.
var (
	// ErrNotLeader means that this host did not accept the command; another
	// host may.
	ErrNotLeader = errors.New("this control host is not the leader")
	// ErrNoQuorum means that, without a quorum, the command was not accepted or
	// the state cannot be confirmed.
	ErrNoQuorum = errors.New("no quorum of control hosts answers")
	// ErrUncertain means that the command may still be committed later.
	ErrUncertain = errors.New("the outcome of the command is unknown")
)

// Log is the replicated log of commands of the control hosts.
type Log interface {
	// Propose returns the command's result once it is committed and applied.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
	// Confirm returns nil once the applied state includes every command that
	// was committed before the call.
	Confirm(ctx context.Context) error
	// Status describes the control group as this host sees it.
	Status() Status
}

// Status describes the control group as one host sees it.
type Status struct {
	leader        string
	leaderAddress string
	term          uint64
	commitIndex   uint64
	quorum        bool
	members       []*wire.Member
	asOf          time.Time
	leadsSince    time.Time
}

// NewStatus returns a status.
func NewStatus(leader, leaderAddress string, term, commitIndex uint64, quorum bool, members []*wire.Member) Status {
	return Status{
		leader: leader, leaderAddress: leaderAddress, term: term,
		commitIndex: commitIndex, quorum: quorum, members: members,
	}
}

// WithAsOf returns the status with the time of the last contact with a quorum.
func (s Status) WithAsOf(t time.Time) Status {
	s.asOf = t
	return s
}

// WithLeadsSince returns the status with the time at which this host became the
// leader, zero if it is not.
func (s Status) WithLeadsSince(t time.Time) Status {
	s.leadsSince = t
	return s
}

// LeadsSince returns the time at which this host became the leader, zero if it is not.
func (s Status) LeadsSince() time.Time { return s.leadsSince }

// AsOf returns the time of the last contact with a quorum, or zero if there was
// none.
func (s Status) AsOf() time.Time { return s.asOf }

// Leader returns the leader's name, or an empty string if it is unknown.
func (s Status) Leader() string { return s.leader }

// LeaderAddress returns the leader's address, or an empty string if it is
// unknown.
func (s Status) LeaderAddress() string { return s.leaderAddress }

// Term returns the current term.
func (s Status) Term() uint64 { return s.term }

// CommitIndex returns the index of the last committed entry.
func (s Status) CommitIndex() uint64 { return s.commitIndex }

// Quorum reports whether this host has recently been in contact with a quorum.
func (s Status) Quorum() bool { return s.quorum }

// Members returns the members of the control group.
func (s Status) Members() []*wire.Member { return s.members }
