// Package upstream accepts the announcements of instances on control hosts. An
// announcement that changes a record is committed to the replicated log before
// it is acknowledged. So an acknowledged drain reaches every entry host that
// reaches the control group. A renewal changes no record and is acknowledged by
// any control host that has a quorum. Announcements that arrive together are committed
// together.
//
// The control host that last received an announcement of an instance holds its
// lease, and reports to the group when the lease expires. For leases of control
// hosts that the leader cannot reach, the leader reports instead.
//
// Usage:
//
//	instances := upstream.New("control-1", log, machine, logger)
//	go instances.Run(ctx)
//	err := instances.Announce(ctx, message)
package upstream

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Lease times.
const (
	// DefaultLease is the time without an announcement after which an instance
	// is silent: three intervals of 1.5 s, and 0.5 s for network latency.
	DefaultLease = 5 * time.Second
	// leaseCheckInterval is how often leases are checked for expiry.
	leaseCheckInterval = 500 * time.Millisecond
	// reportTimeout limits the report of one silent instance to the group.
	reportTimeout = time.Second
)

// ErrNoQuorum means that this host has no quorum of the control group.
var ErrNoQuorum = agreement.ErrNoQuorum

// Instances accepts the announcements that one control host receives, and tracks
// their leases.
type Instances struct {
	name    string
	log     agreement.Log
	machine *state.Machine
	lease   time.Duration
	logger  hclog.Logger
	terms   func(service string) *contract.Service

	batches *batcher
	named   func(service string) bool

	mu      sync.Mutex
	renewed map[string]time.Time // time of the last renewal, by instance id
	visits  map[string]time.Time // of instances whose lease another host holds, by instance id
	warm    map[string]time.Time // end of the cold time that the record states, by instance id
	waits   map[string]wait      // by id of the silent instance
}

// Option configures Instances.
type Option func(*Instances)

// WithLease sets the time without an announcement after which an instance is
// silent.
func WithLease(d time.Duration) Option { return func(i *Instances) { i.lease = d } }

// WithTerms sets the function that returns the terms of a service in the rules in force.
func WithTerms(terms func(service string) *contract.Service) Option {
	return func(i *Instances) { i.terms = terms }
}

// WithNamed sets the function that reports whether a rule in force names a service. Without it
// all services count as named.
func WithNamed(named func(service string) bool) Option {
	return func(i *Instances) { i.named = named }
}

// New returns the Instances of one control host.
func New(name string, log agreement.Log, machine *state.Machine, logger hclog.Logger, opts ...Option) *Instances {
	i := &Instances{
		name: name, log: log, machine: machine, lease: DefaultLease, logger: logger.Named("upstream"),
		batches: newBatcher(log), renewed: map[string]time.Time{}, visits: map[string]time.Time{}, warm: map[string]time.Time{}, waits: map[string]wait{},
		terms: func(service string) *contract.Service { return contract.NewService(service) },
		named: func(string) bool { return true },
	}
	for _, opt := range opts {
		opt(i)
	}
	return i
}

// Announce accepts an announcement. It returns nil once the changes of the
// announcement are committed. After an error they may or may not be committed.
func (i *Instances) Announce(ctx context.Context, m *wire.Instance) error {
	m.HeardBy = i.name
	known := i.machine.Instance(m.GetId())
	if !state.ChangesRecord(known, m) {
		if !i.log.Status().Quorum() {
			return ErrNoQuorum
		}
		if i.turnedColdAgain(known, m) {
			return i.announceColdAgain(ctx, m)
		}
		i.renew(m.GetId())
		return nil
	}
	if i.log.Status().Quorum() && i.isVisit(known, m) {
		return nil
	}
	if !i.mayReplace(known, m) {
		return i.holdBack(m)
	}
	result, err := i.batches.commit(ctx, m)
	if err != nil {
		return err
	}
	if result.GetOutdated() {
		i.logger.Debug("outdated announcement", "instance", m.GetId(), "incarnation", m.GetIncarnation(), "sequence", m.GetSequence())
		return nil
	}
	i.renew(m.GetId())
	i.noteWarmup(m)
	if result.GetChanged() {
		i.logger.Info("instance announced", "instance", m.GetId(), "service", m.GetService(), "address", m.GetAddress(),
			"zone", m.GetZone(), "cold", m.GetCold(), "draining", m.GetDraining(), "incarnation", m.GetIncarnation())
	}
	return nil
}

// Withdraw accepts an instance's announcement that it leaves.
func (i *Instances) Withdraw(ctx context.Context, m *wire.Instance) error {
	m.HeardBy, m.Gone, m.Left, m.Draining = i.name, true, true, true
	result, err := i.batches.commit(ctx, m)
	if err != nil {
		return err
	}
	i.mu.Lock()
	delete(i.renewed, m.GetId())
	delete(i.warm, m.GetId())
	i.mu.Unlock()
	i.logger.Info("instance left", "instance", m.GetId(), "incarnation", m.GetIncarnation(), "changed", result.GetChanged())
	return nil
}

func (i *Instances) renew(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.renewed[id] = time.Now()
	delete(i.visits, id)
	delete(i.waits, id)
}

// isVisit reports whether an announcement only comes to another host than the last one did,
// for the first time within a lease. The lease moves with the next announcement: most
// instances return to the host before, and a move is a commit that all hosts follow.
func (i *Instances) isVisit(known, m *wire.Instance) bool {
	same := proto.Clone(m).(*wire.Instance)
	same.HeardBy = known.GetHeardBy()
	if state.ChangesRecord(known, same) || i.turnedColdAgain(known, m) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	last, visited := i.visits[m.GetId()]
	if visited && now.Sub(last) < i.lease {
		return false
	}
	i.visits[m.GetId()] = now
	return true
}

// Run reports instances whose lease has expired, until the context is done.
func (i *Instances) Run(ctx context.Context) {
	for pause.For(ctx, leaseCheckInterval) {
		if !i.log.Status().Quorum() {
			continue
		}
		var group sync.WaitGroup
		for _, m := range i.expired(time.Now()) {
			group.Go(func() { i.reportSilent(ctx, m) })
		}
		group.Wait()
		i.forgetWarmups(time.Now())
		i.forgetOld(time.Now())
	}
}

// forgetOld drops visits and waits that have no effect any more.
func (i *Instances) forgetOld(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	maps.DeleteFunc(i.visits, func(_ string, at time.Time) bool { return now.Sub(at) >= i.lease })
	maps.DeleteFunc(i.waits, func(_ string, w wait) bool { return i.interrupted(w, now) })
}

// expired returns the instances with an expired lease that this host is
// responsible for.
func (i *Instances) expired(now time.Time) []*wire.Instance {
	all, _ := i.machine.Instances(0)
	reachable := i.reachableHosts()
	i.mu.Lock()
	defer i.mu.Unlock()
	var expired []*wire.Instance
	for _, m := range all {
		if m.GetSilent() || m.GetGone() {
			continue
		}
		isHolder := m.GetHeardBy() == i.name
		if !isHolder && (reachable == nil || reachable[m.GetHeardBy()]) {
			delete(i.renewed, m.GetId())
			continue
		}
		since, ok := i.renewed[m.GetId()]
		if !ok {
			// Without a recorded renewal on this host, the lease starts now.
			since = now
			i.renewed[m.GetId()] = now
		}
		if now.Sub(since) > i.lease {
			expired = append(expired, m)
		}
	}
	return expired
}

// reachableHosts returns the control hosts that the leader reaches, or nil if
// this host is not the leader.
func (i *Instances) reachableHosts() map[string]bool {
	status := i.log.Status()
	if status.Leader() != i.name {
		return nil
	}
	reachable := map[string]bool{}
	for _, m := range status.Members() {
		reachable[m.GetName()] = reachable[m.GetName()] || m.GetReachable()
	}
	return reachable
}

func (i *Instances) reportSilent(ctx context.Context, m *wire.Instance) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	silent := &wire.Instance{Id: m.GetId(), Incarnation: m.GetIncarnation(), HeardBy: m.GetHeardBy(), Silent: true}
	result, err := i.batches.commit(ctx, silent)
	if err != nil || !result.GetChanged() {
		return // retried at the next check
	}
	i.logger.Warn("instance silent", "instance", m.GetId(), "service", m.GetService(), "heardBy", m.GetHeardBy(), "lease", i.lease.String())
}
