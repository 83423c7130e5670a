// Package schedule implements a deterministic simulation of a whole control
// group. It runs in one goroutine, without clocks or sockets, and executes a
// generated schedule of events: dropped, duplicated and reordered messages,
// one-way partitions, crashes that discard what was not synced, lost and full disks,
// membership changes, submissions, claims and reads. It reports each invariant
// that the group violated.
//
// Tests and benchmarks use it. All choices are drawn from one source, so a run
// can be repeated.
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

// Source supplies the choices of a run.
type Source interface {
	// Int returns a number from 0 to n-1.
	Int(n int) int
}

// Invariant names a property that the group must maintain.
type Invariant string

// Invariants that a run checks.
const (
	OneLeader        Invariant = "at most one leader per term"
	SameEntries      Invariant = "committed entries never change"
	NoLoss           Invariant = "an accepted change is never lost"
	MonotonicReads   Invariant = "confirmed reads never return an older version"
	OneHolder        Invariant = "at most one holder dispatches a claim"
	SameResult       Invariant = "a repeated submission returns its first result"
	NoOrphanClaim    Invariant = "a released claim does not block its key"
	Liveness         Invariant = "a group with a quorum makes progress"
	CrashConsistency Invariant = "a data folder is readable after a crash"
	SameState        Invariant = "replicas with the same log have the same state"
	SingleChange     Invariant = "consecutive memberships differ by one replica"
	QuorumSurvives   Invariant = "disk losses within the fault tolerance leave a quorum"
)

// Violation is one violation of an invariant.
type Violation struct {
	invariant Invariant
	step      int
	detail    string
}

// Invariant returns the violated invariant.
func (v Violation) Invariant() Invariant { return v.invariant }

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("step %d: %s: %s", v.step, v.invariant, v.detail)
}

// Report is the result of a run.
type Report struct {
	violations        []Violation
	operations        []Operation
	accepted          int
	dispatched        int
	crashes           int
	diskLosses        int
	fullDisks         int
	elections         int
	membershipChanges int
}

// Violations returns the violations in the order in which they were detected.
func (r *Report) Violations() []Violation { return r.violations }

// Operations returns the history that the clients observed.
func (r *Report) Operations() []Operation { return r.operations }

// Accepted returns how many submissions were accepted.
func (r *Report) Accepted() int { return r.accepted }

// Dispatched returns how many claims were granted and used for a dispatch.
func (r *Report) Dispatched() int { return r.dispatched }

// Crashes returns how often a host crashed.
func (r *Report) Crashes() int { return r.crashes }

// DiskLosses returns how often a host lost its disk.
func (r *Report) DiskLosses() int { return r.diskLosses }

// FullDisks returns how often a host's disk was full.
func (r *Report) FullDisks() int { return r.fullDisks }

// Elections returns how many terms had a leader.
func (r *Report) Elections() int { return r.elections }

// MembershipChanges returns how many membership changes were committed.
func (r *Report) MembershipChanges() int { return r.membershipChanges }

// Count returns how often an invariant was violated.
func (r *Report) Count(invariant Invariant) int {
	n := 0
	for _, v := range r.violations {
		if v.invariant == invariant {
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

// Option configures a run.
type Option func(*options)

// WithHosts sets the number of hosts in the initial membership.
func WithHosts(n int) Option { return func(o *options) { o.hosts = n } }

// WithSteps sets the number of generated events.
func WithSteps(n int) Option { return func(o *options) { o.steps = n } }

// WithoutFaults disables crashes, message and disk losses, and partitions.
func WithoutFaults() Option { return func(o *options) { o.faults = false } }

const (
	electionTicks  = 6
	heartbeatTicks = 2
	segmentBytes   = 2 << 10
)

// Run executes one schedule, heals the group and checks the invariants of a
// healed group. It stops at the first violation during the schedule.
func Run(source Source, opts ...Option) *Report {
	sim := NewSimulation(source, opts...)
	for range sim.steps {
		sim.step()
		if len(sim.report.violations) > 0 {
			return sim.report
		}
	}
	sim.Heal()
	sim.checkHealed()
	return sim.report
}

// NewSimulation returns a simulation of a newly formed group.
func NewSimulation(source Source, opts ...Option) *Simulation {
	o := options{hosts: 3, steps: 400, faults: true}
	for _, opt := range opts {
		opt(&o)
	}
	sim := &Simulation{
		options: o, source: source, report: &Report{}, blocked: map[[2]string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]*wire.LogEntry{}, clients: newClients(),
	}
	var members []*wire.Member
	for n := range o.hosts {
		h := sim.newHost(fmt.Sprintf("control-%d", n+1))
		members = append(members, &wire.Member{Name: h.name, Identity: h.id, Address: h.id, Role: quorum.Voter})
	}
	sim.hosts[0].bootstrap(members)
	return sim
}
