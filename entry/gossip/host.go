package gossip

import (
	"math/bits"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// host is the local state of one host.
type host struct {
	record       *wire.GossipHost
	suspectUntil time.Duration
	downAt       time.Duration // when it was marked dead or left
	window       replayWindow
}

func (h *host) reachable() bool {
	return h.record.GetStatus() < wire.HostStatus_HOST_DEAD
}

func clone[M proto.Message](m M) M { return proto.Clone(m).(M) }

// MaxHostBytes limits the encoded size of a host record.
const MaxHostBytes = 300

// ErrHostTooLarge means that a host record is invalid or does not fit into a
// datagram.
var ErrHostTooLarge = errors.New("host name empty or too long, or host addresses too long")

// CheckHost returns an error if a host record cannot be disseminated.
func CheckHost(r *wire.GossipHost) error {
	if r.GetName() == "" || len(r.GetName()) > maxNameBytes || proto.Size(r) > MaxHostBytes {
		return ErrHostTooLarge
	}
	return nil
}

// newerHost reports whether a supersedes b, two records of one host. A later
// epoch wins. Within an epoch, a left status is final; then the higher revision
// wins, which a refutation raises; then the worse status.
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

// Hosts returns the records of all hosts that are alive or suspect, including
// this one, ordered by name.
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

// Join pings seed hosts from an external source such as a control host, and pulls
// the full state from one of them if this host has no peers.
func (c *Core) Join(now time.Duration, seeds []*wire.GossipHost) Output {
	c.now = max(c.now, now)
	for _, seed := range seeds {
		if seed.GetName() == c.self.GetName() || c.alive(seed.GetName()) {
			continue
		}
		c.sendTo("", seed.GetPeersAddress(), &wire.GossipDatagram{
			Kind: wire.GossipKind_GOSSIP_PING, Nonce: c.random.Uint64(), Hosts: []*wire.GossipHost{c.self},
		}, priorityHigh)
		if len(c.hosts) == 1 {
			c.out.Pull = seed.GetPeersAddress()
		}
	}
	return c.takeOutput()
}

func (c *Core) alive(name string) bool {
	h := c.hosts[name]
	return h != nil && h.reachable()
}

// mergeHost applies a received record if it supersedes the known one. It reports
// whether the received record is older than the known one.
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
			c.updates.countDuplicate(hostKey(r.GetName()), c.transmitLimit())
		}
		return stale
	}
	c.putHost(known, r)
	return false
}

// refute raises the record of this host above a received one that supersedes it.
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
		next.downAt, next.suspectUntil = known.downAt, known.suspectUntil
		if known.record.GetEpoch() == r.GetEpoch() {
			next.window = known.window
		}
	}
	switch {
	case r.GetStatus() == wire.HostStatus_HOST_SUSPECT:
		if known == nil || known.record.GetStatus() != wire.HostStatus_HOST_SUSPECT {
			next.suspectUntil = c.now + c.suspicionTimeout()
		}
	case !next.reachable() && (known == nil || known.reachable()):
		next.downAt = c.now
	}
	c.hosts[r.GetName()] = next
	c.livePeers = nil
	c.indexHost(r)
	c.updates.add(hostKey(r.GetName()), r.GetStatus() != wire.HostStatus_HOST_ALIVE)
	c.out.HostsChanged = true
}

// log2Hosts returns the number of doublings from one host to all of them.
func (c *Core) log2Hosts() int { return bits.Len(uint(len(c.hosts))) }

func (c *Core) suspicionTimeout() time.Duration {
	return suspicionBase + time.Duration(c.log2Hosts())*suspicionPerDoubling
}

// suspicionTick marks suspect hosts dead that did not refute in time.
func (c *Core) suspicionTick() {
	var due []string
	for name, h := range c.hosts {
		if h.record.GetStatus() == wire.HostStatus_HOST_SUSPECT && c.now >= h.suspectUntil {
			due = append(due, name)
		}
	}
	sort.Strings(due)
	for _, name := range due {
		c.setStatus(c.hosts[name], wire.HostStatus_HOST_DEAD)
	}
}

func (c *Core) setStatus(h *host, status wire.HostStatus) {
	next := clone(h.record)
	next.Status = status
	c.mergeHost(next)
}

// expireTick removes hosts and instances whose tombstones have expired.
func (c *Core) expireTick() {
	for name, h := range c.hosts {
		if !h.reachable() && name != c.self.GetName() && c.now-h.downAt > tombstoneRetention {
			delete(c.hosts, name)
		}
	}
	c.expireInstances()
}
