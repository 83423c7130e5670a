// Package agreement is the seam between the replicated log and those who use
// it: the operator and entry services propose commands and ask whether what
// they read is current; they do not know how hosts agree.
//
// Usage:
//
//	result, err := log.Propose(ctx, command)
//	if err := log.Confirm(ctx); err != nil { /* answer as stale */ }
package agreement

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Errors of a log.
var (
	// ErrNotLeader means that this host did not take the command; another may.
	ErrNotLeader = errors.New("this control host is not the leader")
	// ErrNoQuorum means that the command was not taken, or that the state
	// cannot be confirmed, for want of a quorum.
	ErrNoQuorum = errors.New("no quorum of control hosts answers")
	// ErrUncertain means that the command may still be committed later.
	ErrUncertain = errors.New("the command's fate is not known")
)

// Log orders commands among the control hosts.
type Log interface {
	// Propose returns the command's result once it is committed and applied.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
	// Confirm returns nil once the applied state is at least as new as any
	// command that was committed before the call.
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
}

// NewStatus returns a status.
func NewStatus(leader, leaderAddress string, term, commitIndex uint64, quorum bool, members []*wire.Member) Status {
	return Status{
		leader: leader, leaderAddress: leaderAddress, term: term,
		commitIndex: commitIndex, quorum: quorum, members: members,
	}
}

// WithAsOf returns the status with the time at which a quorum was last heard.
func (s Status) WithAsOf(t time.Time) Status {
	s.asOf = t
	return s
}

// AsOf returns when this host last heard a quorum's word; zero if it never did.
func (s Status) AsOf() time.Time { return s.asOf }

// Leader returns the leader's name, empty if unknown.
func (s Status) Leader() string { return s.leader }

// LeaderAddress returns the leader's address, empty if unknown.
func (s Status) LeaderAddress() string { return s.leaderAddress }

// Term returns the current term.
func (s Status) Term() uint64 { return s.term }

// CommitIndex returns the index of the last committed entry.
func (s Status) CommitIndex() uint64 { return s.commitIndex }

// Quorum reports whether this host has lately heard a quorum's word.
func (s Status) Quorum() bool { return s.quorum }

// Members returns the members of the control group.
func (s Status) Members() []*wire.Member { return s.members }
