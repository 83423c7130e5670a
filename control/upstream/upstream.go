// Package upstream hears instances that announce themselves to control hosts.
// What changes a record goes through the replicated log before it is
// acknowledged: whoever is told that an instance drains can rely on every
// entry host that reaches the control group. A renewal changes nothing and is
// acknowledged by any control host that hears the group's quorum.
//
// The host that heard an instance last holds its lease. It reports silence to
// the group; of a host that is not reached any more, the leader does.
//
// Usage:
//
//	instances := upstream.New("control-1", log, machine)
//	go instances.Run(ctx)
//	err := instances.Hear(ctx, message)
package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of leases.
const (
	// DefaultLease is the time without an announcement after which an instance
	// is silent: three intervals of 1.5 s and half a second on the way.
	DefaultLease = 5 * time.Second
	// leaseInterval is how often leases are looked at.
	leaseInterval = 500 * time.Millisecond
	// leaseLimit bounds the report of one silent instance.
	leaseLimit = time.Second
)

// ErrNoQuorum means that this host is cut off from the control group.
var ErrNoQuorum = agreement.ErrNoQuorum

// Instances takes the announcements that one control host hears.
type Instances struct {
	name    string
	log     agreement.Log
	machine *state.Machine
	lease   time.Duration
	logger  hclog.Logger

	mu    sync.Mutex
	heard map[string]time.Time // by the instance's id
}

// Option changes one property.
type Option func(*Instances)

// WithLease sets the time without an announcement after which an instance is
// silent.
func WithLease(d time.Duration) Option { return func(i *Instances) { i.lease = d } }

// New returns the instances of one control host.
func New(name string, log agreement.Log, machine *state.Machine, logger hclog.Logger, opts ...Option) *Instances {
	i := &Instances{
		name: name, log: log, machine: machine, lease: DefaultLease, logger: logger.Named("upstream"),
		heard: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(i)
	}
	return i
}

// Announce takes an announcement. It returns once what the announcement changes is
// committed; an error says that this is not certain.
func (i *Instances) Announce(ctx context.Context, m *wire.Instance) error {
	m.HeardBy = i.name
	if !state.ChangesRecord(i.machine.Instance(m.GetId()), m) {
		if !i.log.Status().Quorum() {
			return ErrNoQuorum
		}
		i.renew(m.GetId())
		return nil
	}
	result, err := i.announce(ctx, m)
	if err != nil {
		return err
	}
	if result.GetOutdated() {
		i.logger.Debug("outdated announcement", "instance", m.GetId(), "incarnation", m.GetIncarnation(), "sequence", m.GetSequence())
		return nil
	}
	i.renew(m.GetId())
	if result.GetChanged() {
		i.logger.Info("instance announced", "instance", m.GetId(), "service", m.GetService(), "address", m.GetAddress(),
			"zone", m.GetZone(), "cold", m.GetCold(), "draining", m.GetDraining(), "incarnation", m.GetIncarnation())
	}
	return nil
}

// Withdraw takes an instance's word that it leaves.
func (i *Instances) Withdraw(ctx context.Context, m *wire.Instance) error {
	m.HeardBy, m.Gone, m.Left, m.Draining = i.name, true, true, true
	result, err := i.announce(ctx, m)
	if err != nil {
		return err
	}
	i.mu.Lock()
	delete(i.heard, m.GetId())
	i.mu.Unlock()
	i.logger.Info("instance left", "instance", m.GetId(), "incarnation", m.GetIncarnation(), "changed", result.GetChanged())
	return nil
}

func (i *Instances) announce(ctx context.Context, m *wire.Instance) (*wire.AnnouncementResult, error) {
	cmd := &wire.Command{At: time.Now().UnixNano(), Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: m}}}
	result, err := i.log.Propose(ctx, cmd)
	return result.GetAnnounce(), errors.Wrap(err, "commit an announcement")
}

func (i *Instances) renew(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heard[id] = time.Now()
}

// Run reports instances whose lease has ended, until the context ends.
func (i *Instances) Run(ctx context.Context) {
	for pause.For(ctx, leaseInterval) {
		if !i.log.Status().Quorum() {
			continue
		}
		for _, m := range i.ended(time.Now()) {
			i.silence(ctx, m)
		}
	}
}

// ended returns the instances whose lease has ended, as far as this host is
// the one to say so.
func (i *Instances) ended(now time.Time) []*wire.Instance {
	all, _ := i.machine.Instances(0)
	reached := i.reached()
	i.mu.Lock()
	defer i.mu.Unlock()
	var ended []*wire.Instance
	for _, m := range all {
		if m.GetSilent() || m.GetGone() {
			continue
		}
		mine := m.GetHeardBy() == i.name
		if !mine && (reached == nil || reached[m.GetHeardBy()]) {
			delete(i.heard, m.GetId())
			continue
		}
		since, known := i.heard[m.GetId()]
		if !known {
			// The lease begins anew where nothing is known of it.
			since = now
			i.heard[m.GetId()] = now
		}
		if now.Sub(since) > i.lease {
			ended = append(ended, m)
		}
	}
	return ended
}

// reached returns the control hosts that the leader reaches, or nil if this
// host does not lead.
func (i *Instances) reached() map[string]bool {
	status := i.log.Status()
	if status.Leader() != i.name {
		return nil
	}
	reached := map[string]bool{}
	for _, m := range status.Members() {
		reached[m.GetName()] = reached[m.GetName()] || m.GetReachable()
	}
	return reached
}

func (i *Instances) silence(ctx context.Context, m *wire.Instance) {
	ctx, cancel := context.WithTimeout(ctx, leaseLimit)
	defer cancel()
	silent := &wire.Instance{Id: m.GetId(), Incarnation: m.GetIncarnation(), HeardBy: m.GetHeardBy(), Silent: true}
	result, err := i.announce(ctx, silent)
	if err != nil || !result.GetChanged() {
		return // it is looked at again
	}
	i.logger.Warn("instance silent", "instance", m.GetId(), "service", m.GetService(), "heardBy", m.GetHeardBy(), "lease", i.lease.String())
}
