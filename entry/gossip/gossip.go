// Package gossip implements the membership protocol of the entry hosts, a
// variant of SWIM. It tracks which hosts are alive and which instances are
// announced on any of them, with datagrams of bounded size at a bounded rate.
//
// Each host probes the others in shuffled round-robin order, first directly and
// then indirectly through other hosts. A host that does not respond is marked
// suspect before it is marked dead, so that it can refute the suspicion. The
// entry host that receives the heartbeats of an instance owns its lease and
// disseminates changes but not renewals. Records are totally ordered and a merge
// keeps the greater one, so loss, duplication and reordering of datagrams do no
// harm. Updates that dissemination missed are found by anti-entropy: a periodic
// exchange of digests with a random host.
//
// A Core is deterministic and does no I/O: it takes the time since an arbitrary
// start and a random source as arguments and returns the datagrams to send.
// Times are never compared between hosts.
//
// Usage:
//
//	core := gossip.New(self, random, gossip.WithRate(3072))
//	out := core.Tick(now)
//	out = core.Receive(now, datagram)
//	for _, send := range out.Sends { ... }
package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// Intervals and timeouts of the protocol.
const (
	TickInterval   = 100 * time.Millisecond
	LeaseTime      = 3 * time.Second
	probeInterval  = time.Second
	directTimeout  = 300 * time.Millisecond
	syncInterval   = 2 * time.Second
	rejoinInterval = 2 * time.Second
	pauseLimit     = 500 * time.Millisecond // a longer gap between ticks means that this process was paused

	// tombstoneRetention exceeds orphanLimit, so that every host drops its live
	// records of a dead owner's instances before others expire the tombstones.
	tombstoneRetention = 20 * time.Minute
	orphanLimit        = 10 * time.Minute
)

// Fan-out and dissemination limits of the protocol.
const (
	fanout               = 3 // hosts that updates are sent to in one tick
	indirectProbes       = 3
	urgentFactor         = 2 // multiplies the transmit limit of urgent updates
	transmitBase         = 3 // transmits of one update, plus one for each doubling of the number of hosts
	suspicionBase        = 2 * time.Second
	suspicionPerDoubling = 500 * time.Millisecond // added for each doubling of the number of hosts
)

// Send is one datagram to one address.
type Send struct {
	Address  string
	Datagram *wire.GossipDatagram
}

// Output lists what the driver has to do after a step.
type Output struct {
	Sends []Send
	// Instances are the ids of the instances that changed.
	Instances []string
	// HostsChanged is set when a host joined, changed, left or died.
	HostsChanged bool
	// Pull is the address of a host to fetch the full state from, if not empty.
	Pull string
	// Checks are instances that the driver must try to connect to because the
	// owner is dead or has left; see ReportCheck.
	Checks []*wire.Instance
}

// Core is the protocol state of one host. It is not safe for concurrent use.
type Core struct {
	options
	random *rand.Rand
	now    time.Duration
	out    Output

	self       *wire.GossipHost
	sequence   uint64
	hosts      map[string]*host
	probeOrder []string // remaining targets of the current probe round, last one first
	probes     map[uint64]*probe
	relays     map[uint64]relay
	instances  map[string]*instance
	updates    updateQueue
	budget     tokenBucket
	index      index

	livePeers []string // cache of peers, nil when it is invalid

	earlyPulls int

	tickedAt, nextProbe, nextSync, nextRejoin, nextPull, nextEarlyPull time.Duration
}

type options struct {
	rate  int // bytes per second
	burst int
}

// Option configures a Core.
type Option func(*options)

// WithRate limits the send rate of this host, in bytes per second.
func WithRate(n int) Option {
	return func(o *options) { o.rate, o.burst = n, 2*n }
}

// DefaultRate is the default limit of the send rate, in bytes per second.
const DefaultRate = 3072

// New returns the core of a host that has no peers yet.
func New(self *wire.GossipHost, random *rand.Rand, opts ...Option) *Core {
	c := &Core{
		random: random, hosts: map[string]*host{}, probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		instances: map[string]*instance{}, earlyPulls: earlyPulls,
	}
	WithRate(DefaultRate)(&c.options)
	for _, opt := range opts {
		opt(&c.options)
	}
	c.budget = newTokenBucket(c.rate, c.burst)
	c.self = clone(self)
	c.self.Status = wire.HostStatus_HOST_ALIVE
	c.self.Revision = 1
	c.hosts[self.GetName()] = &host{record: c.self}
	c.indexHost(c.self)
	c.updates.add(hostKey(self.GetName()), false)
	return c
}

// Tick advances the protocol to now. It is called every TickInterval.
func (c *Core) Tick(now time.Duration) Output {
	gap := now - c.tickedAt
	c.now, c.tickedAt = max(c.now, now), now
	if gap > pauseLimit {
		c.compensatePause(gap)
	}
	c.probeTick()
	c.suspicionTick()
	c.leaseTick()
	c.syncTick()
	c.pullTick()
	c.disseminateTick()
	c.expireTick()
	return c.takeOutput()
}

// compensatePause drops the probes that were in flight while this process was
// paused and extends deadlines by the gap, so that the pause is not blamed on
// others. After a pause longer than tombstoneRetention it also drops the instance
// records that other hosts own, since their tombstones may have expired elsewhere.
func (c *Core) compensatePause(gap time.Duration) {
	clear(c.probes)
	for _, h := range c.hosts {
		h.suspectUntil += gap
	}
	for _, r := range c.instances {
		r.leaseUntil += gap
	}
	if gap > tombstoneRetention {
		c.dropRemote()
	}
}

func (c *Core) takeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Self returns the record of this host.
func (c *Core) Self() *wire.GossipHost { return c.self }

// SetState changes the state in the record of this host.
func (c *Core) SetState(now time.Duration, state string) Output {
	c.now = max(c.now, now)
	if c.self.GetState() != state {
		next := clone(c.self)
		next.State = state
		next.Revision++
		c.putSelf(next)
	}
	return c.takeOutput()
}

// Leave marks this host as left and sends the update without waiting for ticks.
func (c *Core) Leave(now time.Duration) Output {
	c.now = max(c.now, now)
	next := clone(c.self)
	next.Status = wire.HostStatus_HOST_LEFT
	next.Revision++
	c.putSelf(next)
	for range fanout {
		c.disseminateTick()
	}
	return c.takeOutput()
}

func (c *Core) putSelf(next *wire.GossipHost) {
	c.unindexHost(c.self)
	c.self = next
	c.hosts[next.GetName()].record = next
	c.indexHost(next)
	c.updates.add(hostKey(next.GetName()), true)
	c.out.HostsChanged = true
}
