// Package gossip is the membership protocol of the entry hosts. Each host
// learns which other hosts are alive and which instances announced themselves
// anywhere, by datagrams of bounded size at a bounded rate.
//
// Hosts probe each other in turn, directly and then through others, and hold a
// silent host under suspicion before they call it dead, so that it can refute.
// The entry host that hears an instance owns its lease and passes on changes,
// never renewals. Records form a total order and merge by taking the larger
// one, so loss, duplication and reordering of datagrams do no harm. What
// dissemination missed is found by exchanging digests with a random host.
//
// A Core reads no clock and no random source and opens no socket: the time
// since an arbitrary start and a random source are handed in, and datagrams
// come out. Times are never compared between hosts.
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

// Times of the protocol.
const (
	TickInterval   = 100 * time.Millisecond
	LeaseTime      = 3 * time.Second
	probeInterval  = time.Second
	directTimeout  = 300 * time.Millisecond
	syncInterval   = 2 * time.Second
	rejoinInterval = 2 * time.Second
	pauseLimit     = 500 * time.Millisecond // a longer gap between ticks is this host's own fault

	// tombstoneTime is longer than orphanLimit: whoever still holds a live
	// record of a lost owner drops it before others forget that it ended.
	tombstoneTime = 20 * time.Minute
	orphanLimit   = 10 * time.Minute
)

// Counts of the protocol.
const (
	fanout           = 3 // hosts that news is sent to in one tick
	indirectProbes   = 3
	urgentFactor     = 2 // sends of urgent news, as a multiple
	spreadExtra      = 3 // sends of one change, and one more for each doubling of the hosts
	suspicionBase    = 2 * time.Second
	suspicionPerStep = 500 * time.Millisecond // for each doubling of the hosts
)

// Send is one datagram to one address.
type Send struct {
	Address  string
	Datagram *wire.GossipDatagram
}

// Output is what a step asks its driver to do.
type Output struct {
	Sends []Send
	// Instances are the ids of the instances that changed.
	Instances []string
	// HostsChanged is set when a host joined, changed or was lost.
	HostsChanged bool
	// Pull names the address of a host to fetch the whole state from.
	Pull string
	// Checks are instances whose owner is lost and that this host shall try
	// to connect to; see Checked.
	Checks []*wire.Instance
}

// Core is the state of one host. Its methods must not be called at the same
// time.
type Core struct {
	options
	random *rand.Rand
	now    time.Duration
	out    Output

	self      *wire.GossipHost
	sequence  uint64
	hosts     map[string]*host
	ring      []string // names in probe order
	probes    map[uint64]*probe
	relays    map[uint64]relay
	instances map[string]*record
	news      newsQueue
	budget    bucket
	index     index

	live []string // the other live hosts, nil when it must be made again

	earlyPulls int

	tickedAt, nextProbe, nextSync, nextRejoin, nextPull, nextEarlyPull time.Duration
}

type options struct {
	rate  int // bytes a second
	burst int
}

// Option changes one property of a core.
type Option func(*options)

// WithRate bounds what this host sends, in bytes a second.
func WithRate(n int) Option {
	return func(o *options) { o.rate, o.burst = n, 2*n }
}

// DefaultRate is the bound of what a host sends, in bytes a second.
const DefaultRate = 3072

// New returns the core of a host that knows no other host yet.
func New(self *wire.GossipHost, random *rand.Rand, opts ...Option) *Core {
	c := &Core{
		random: random, hosts: map[string]*host{}, probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		instances: map[string]*record{}, earlyPulls: earlyPulls,
	}
	WithRate(DefaultRate)(&c.options)
	for _, opt := range opts {
		opt(&c.options)
	}
	c.budget = newBucket(c.rate, c.burst)
	c.self = clone(self)
	c.self.Status = wire.HostStatus_HOST_ALIVE
	c.self.Revision = 1
	c.hosts[self.GetName()] = &host{record: c.self}
	c.indexHost(c.self)
	c.news.add(hostKey(self.GetName()), false)
	return c
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) Output {
	gap := now - c.tickedAt
	c.now, c.tickedAt = max(c.now, now), now
	if gap > pauseLimit {
		c.pardon(gap)
	}
	c.probeTick()
	c.suspicionTick()
	c.leaseTick()
	c.syncTick()
	c.pullTick()
	c.newsTick()
	c.forgetTick()
	return c.take()
}

// pardon forgives probes that ran while this host itself stood still, and
// forgets what others may have buried meanwhile.
func (c *Core) pardon(gap time.Duration) {
	clear(c.probes)
	for _, h := range c.hosts {
		h.suspectUntil += gap
	}
	for _, r := range c.instances {
		r.leaseUntil += gap
	}
	if gap > tombstoneTime {
		c.forgetForeign()
	}
}

func (c *Core) take() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Self returns this host's own record.
func (c *Core) Self() *wire.GossipHost { return c.self }

// SetState changes what this host says of its own state.
func (c *Core) SetState(now time.Duration, state string) Output {
	c.now = max(c.now, now)
	if c.self.GetState() != state {
		next := clone(c.self)
		next.State = state
		next.Revision++
		c.putSelf(next)
	}
	return c.take()
}

// Leave tells some hosts at once that this host leaves.
func (c *Core) Leave(now time.Duration) Output {
	c.now = max(c.now, now)
	next := clone(c.self)
	next.Status = wire.HostStatus_HOST_LEFT
	next.Revision++
	c.putSelf(next)
	for range fanout {
		c.newsTick()
	}
	return c.take()
}

func (c *Core) putSelf(next *wire.GossipHost) {
	c.unindexHost(c.self)
	c.self = next
	c.hosts[next.GetName()].record = next
	c.indexHost(next)
	c.news.add(hostKey(next.GetName()), true)
	c.out.HostsChanged = true
}
