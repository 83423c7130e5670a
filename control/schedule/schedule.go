// Package schedule runs a whole control group in one goroutine, without clocks
// or sockets, through a generated order of events: messages that are lost,
// doubled and reordered, partitions in one direction, crashes that lose what
// was not synced, blank disks, changes of membership, submissions, claims and
// reads. It reports each promise that the group broke.
//
// Tests and measurements share it; a source of choices makes a run repeatable.
//
// Usage:
//
//	report := schedule.Run(source, schedule.WithHosts(3), schedule.WithSteps(400))
//	for _, violation := range report.Violations() { ... }
package schedule

import (
	"fmt"

	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Source makes the choices of a run.
type Source interface {
	// Int returns a number from 0 to n-1.
	Int(n int) int
}

// Invariant names what a group must keep.
type Invariant string

// Promises that a run checks.
const (
	OneLeader        Invariant = "one leader a term"
	SameEntries      Invariant = "committed entries never change"
	NoLoss           Invariant = "an accepted change is never lost"
	MonotonicReads   Invariant = "a confirmed version never goes back"
	OneHolder        Invariant = "at most one holder dispatches a claim"
	SameResult       Invariant = "a submission sent again gives the first result"
	NoOrphanClaim    Invariant = "a claim that was given up does not block the key"
	Liveness         Invariant = "a group with a quorum makes progress"
	CrashConsistency Invariant = "a crash leaves a folder that can be read"
	SameState        Invariant = "replicas with the same log hold the same state"
	SingleChange     Invariant = "memberships differ by one replica"
	QuorumSurvives   Invariant = "losses within the bound leave a quorum"
)

// Violation is a promise that was broken.
type Violation struct {
	promise Invariant
	step    int
	detail  string
}

// Invariant returns the broken promise.
func (v Violation) Invariant() Invariant { return v.promise }

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("step %d: %s: %s", v.step, v.promise, v.detail)
}

// Report is the outcome of a run.
type Report struct {
	violations []Violation
	operations []Operation
	accepted   int
	dispatched int
	crashes    int
	blanks     int
	elections  int
	changes    int
}

// Violations returns the broken promises, in the order they were seen.
func (r *Report) Violations() []Violation { return r.violations }

// Operations returns what the clients saw.
func (r *Report) Operations() []Operation { return r.operations }

// Accepted returns how many submissions were accepted.
func (r *Report) Accepted() int { return r.accepted }

// Dispatched returns how many claims were granted to a holder that used them.
func (r *Report) Dispatched() int { return r.dispatched }

// Crashes returns how many hosts crashed.
func (r *Report) Crashes() int { return r.crashes }

// DiskLosses returns how many hosts lost their disk.
func (r *Report) DiskLosses() int { return r.blanks }

// Elections returns how many terms had a leader.
func (r *Report) Elections() int { return r.elections }

// MembershipChanges returns how many changes of membership were committed.
func (r *Report) MembershipChanges() int { return r.changes }

// Count returns how often a promise was broken.
func (r *Report) Count(p Invariant) int {
	n := 0
	for _, v := range r.violations {
		if v.promise == p {
			n++
		}
	}
	return n
}

type options struct {
	hosts  int
	steps  int
	faults bool
}

// Option changes a run.
type Option func(*options)

// WithHosts sets the size of the first membership.
func WithHosts(n int) Option { return func(o *options) { o.hosts = n } }

// WithSteps sets how many events are generated.
func WithSteps(n int) Option { return func(o *options) { o.steps = n } }

// WithoutFaults leaves out crashes, losses and partitions.
func WithoutFaults() Option { return func(o *options) { o.faults = false } }

const (
	electionTicks  = 6
	heartbeatTicks = 2
	segmentBytes   = 2 << 10
)

// Run runs one schedule, heals the group and checks what must hold at the end.
func Run(source Source, opts ...Option) *Report {
	w := NewSimulation(source, opts...)
	for range w.steps {
		w.step()
		if len(w.report.violations) > 0 {
			return w.report
		}
	}
	w.Heal()
	w.judge()
	return w.report
}

// NewSimulation returns a group that has just been formed.
func NewSimulation(source Source, opts ...Option) *Simulation {
	o := options{hosts: 3, steps: 400, faults: true}
	for _, opt := range opts {
		opt(&o)
	}
	w := &Simulation{
		options: o, source: source, report: &Report{}, blocked: map[[2]string]bool{},
		leaders: map[uint64]string{}, entries: map[uint64]*wire.LogEntry{}, clients: newClients(),
	}
	var members []*wire.Member
	for n := range o.hosts {
		h := w.newHost(fmt.Sprintf("control-%d", n+1))
		members = append(members, &wire.Member{Name: h.name, Identity: h.id, Address: h.id, Role: quorum.Voter})
	}
	w.hosts[0].found(members)
	return w
}
