package gossip

import (
	"math/bits"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// host is what this core knows of one host.
type host struct {
	record       *wire.GossipHost
	suspectUntil time.Duration
	lostAt       time.Duration // when it was called dead or left
	window       window
}

func (h *host) reachable() bool {
	return h.record.GetStatus() < wire.HostStatus_HOST_DEAD
}

func clone[M proto.Message](m M) M { return proto.Clone(m).(M) }

// MaxHostBytes bounds an encoded record of a host.
const MaxHostBytes = 300

// ErrHostTooLarge means that a host's record does not fit into a datagram.
var ErrHostTooLarge = errors.New("the host's name is empty or too long, or its addresses are too long")

// CheckHost reports whether a host's record can be passed on.
func CheckHost(r *wire.GossipHost) error {
	if r.GetName() == "" || len(r.GetName()) > maxNameBytes || proto.Size(r) > MaxHostBytes {
		return ErrHostTooLarge
	}
	return nil
}

// newerHost orders records of one host. A later start wins; leaving is final
// for one start; a refutation raises the revision; with the same revision the
// worse news wins.
func newerHost(a, b *wire.GossipHost) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	left := wire.HostStatus_HOST_LEFT
	if (a.GetStatus() == left) != (b.GetStatus() == left) {
		return a.GetStatus() == left
	}
	if a.GetRevision() != b.GetRevision() {
		return a.GetRevision() > b.GetRevision()
	}
	return a.GetStatus() > b.GetStatus()
}

// Hosts returns the records of all hosts that count as alive, this one
// included, in order of names.
func (c *Core) Hosts() []*wire.GossipHost {
	var all []*wire.GossipHost
	for _, h := range c.hosts {
		if h.reachable() {
			all = append(all, h.record)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetName() < all[j].GetName() })
	return all
}

// Join introduces hosts that somebody else named, for example a control host.
func (c *Core) Join(now time.Duration, seeds []*wire.GossipHost) Output {
	c.now = max(c.now, now)
	for _, seed := range seeds {
		if seed.GetName() == c.self.GetName() || c.alive(seed.GetName()) {
			continue
		}
		c.sendTo("", seed.GetPeersAddress(), &wire.GossipDatagram{
			Kind: wire.GossipKind_GOSSIP_PING, Nonce: c.random.Uint64(), Hosts: []*wire.GossipHost{c.self},
		}, essential)
		if len(c.hosts) == 1 {
			c.out.Pull = seed.GetPeersAddress()
		}
	}
	return c.take()
}

func (c *Core) alive(name string) bool {
	h := c.hosts[name]
	return h != nil && h.reachable()
}

// mergeHost takes a record if it is newer. It reports whether the given record
// is older than the known one.
func (c *Core) mergeHost(r *wire.GossipHost) (stale bool) {
	if CheckHost(r) != nil {
		return false
	}
	if r.GetName() == c.self.GetName() {
		c.refute(r)
		return newerHost(c.self, r)
	}
	known := c.hosts[r.GetName()]
	if known != nil && !newerHost(r, known.record) {
		stale = newerHost(known.record, r)
		if !stale {
			c.news.heard(hostKey(r.GetName()), c.spreadLimit())
		}
		return stale
	}
	c.putHost(known, r)
	return false
}

// refute raises this host's own record above a worse or unknown one.
func (c *Core) refute(r *wire.GossipHost) {
	if !newerHost(r, c.self) {
		return
	}
	next := clone(c.self)
	if r.GetEpoch() > next.GetEpoch() || r.GetStatus() == wire.HostStatus_HOST_LEFT {
		next.Epoch = r.GetEpoch() + 1
		c.sequence = 0
	}
	next.Revision = r.GetRevision() + 1
	c.putSelf(next)
}

func (c *Core) putHost(known *host, r *wire.GossipHost) {
	next := &host{record: r}
	if known != nil {
		c.unindexHost(known.record)
		next.lostAt, next.suspectUntil = known.lostAt, known.suspectUntil
		if known.record.GetEpoch() == r.GetEpoch() {
			next.window = known.window
		}
	}
	switch {
	case r.GetStatus() == wire.HostStatus_HOST_SUSPECT:
		if known == nil || known.record.GetStatus() != wire.HostStatus_HOST_SUSPECT {
			next.suspectUntil = c.now + c.suspicionTime()
		}
	case !next.reachable() && (known == nil || known.reachable()):
		next.lostAt = c.now
	}
	c.hosts[r.GetName()] = next
	c.live = nil
	c.indexHost(r)
	c.news.add(hostKey(r.GetName()), r.GetStatus() != wire.HostStatus_HOST_ALIVE)
	c.out.HostsChanged = true
}

// doublings returns how often one host must be doubled to have them all.
func (c *Core) doublings() int { return bits.Len(uint(len(c.hosts))) }

func (c *Core) suspicionTime() time.Duration {
	return suspicionBase + time.Duration(c.doublings())*suspicionPerStep
}

// suspicionTick calls hosts dead that did not refute in time.
func (c *Core) suspicionTick() {
	var due []string
	for name, h := range c.hosts {
		if h.record.GetStatus() == wire.HostStatus_HOST_SUSPECT && c.now >= h.suspectUntil {
			due = append(due, name)
		}
	}
	sort.Strings(due)
	for _, name := range due {
		c.mark(c.hosts[name], wire.HostStatus_HOST_DEAD)
	}
}

func (c *Core) mark(h *host, status wire.HostStatus) {
	next := clone(h.record)
	next.Status = status
	c.mergeHost(next)
}

// forgetTick drops hosts that were lost long ago.
func (c *Core) forgetTick() {
	for name, h := range c.hosts {
		if !h.reachable() && name != c.self.GetName() && c.now-h.lostAt > tombstoneTime {
			delete(c.hosts, name)
		}
	}
	c.forgetInstances()
}
