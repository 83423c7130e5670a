package gossip

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Timing of orphans: instances whose owner is dead or has left.
const (
	checkInterval = time.Second
	// orphanGrace is how long an instance may take to move to another host after
	// its owner was marked dead or left.
	orphanGrace = LeaseTime
	// adoptLimit is the maximum duration of an adoption without a heartbeat.
	adoptLimit = 2 * time.Hour
	minChecks  = 3
)

// leaseTick handles the expired leases of instances that this host owns and of
// orphans.
func (c *Core) leaseTick() {
	var due []string
	for id, r := range c.instances {
		if r.live() && c.now >= r.leaseUntil && c.now >= r.checkAt && c.responsible(r) {
			due = append(due, id)
		}
	}
	sort.Strings(due)
	for _, id := range due {
		c.maintain(c.instances[id])
	}
}

func (c *Core) responsible(r *instance) bool {
	owner := r.record.GetHeardBy()
	return owner == c.self.GetName() || !c.alive(owner)
}

func (c *Core) maintain(r *instance) {
	if r.record.GetHeardBy() != c.self.GetName() {
		c.maintainOrphan(r)
		return
	}
	if c.now < r.adoptedUntil && c.now < r.connectedAt+LeaseTime {
		c.check(r)
		return
	}
	c.endLease(r)
}

func (c *Core) endLease(r *instance) {
	next := clone(r.record)
	next.Gone = true
	next.Revision++
	c.putInstance(next)
}

// maintainOrphan makes one of the reachable hosts check an orphan. If a
// connection succeeds, the host adopts the instance, so that either side of a
// partition keeps the instances it can reach. Otherwise the lease ends.
func (c *Core) maintainOrphan(r *instance) {
	downFor := c.now - c.ownerDownAt(r)
	if downFor < orphanGrace {
		return
	}
	r.checkAt = c.now + checkInterval
	switch {
	case downFor > orphanLimit:
		c.endLease(r)
	case !c.winsRendezvous(r.record.GetId()):
	case downFor > orphanGrace+LeaseTime && r.checks >= minChecks:
		c.endLease(r)
	default:
		c.check(r)
	}
}

// ownerDownAt returns when the owner was marked dead or left, or when the record
// was received if the owner is unknown.
func (c *Core) ownerDownAt(r *instance) time.Duration {
	if h := c.hosts[r.record.GetHeardBy()]; h != nil {
		return h.downAt
	}
	return r.receivedAt
}

// winsRendezvous reports whether this host is selected for an instance by
// rendezvous hashing among the reachable hosts.
func (c *Core) winsRendezvous(id string) bool {
	mine := weight(id, c.self.GetName())
	for name, h := range c.hosts {
		if h.reachable() && weight(id, name) > mine {
			return false
		}
	}
	return true
}

func weight(id, host string) uint64 { return xxhash.Sum64String(id + "\x00" + host) }

func (c *Core) check(r *instance) {
	r.checkAt = c.now + checkInterval
	r.checks++
	c.out.Checks = append(c.out.Checks, r.record)
}

// ReportCheck handles the result of a check from Output.Checks. If the connection
// succeeded, this host becomes the owner of the instance.
func (c *Core) ReportCheck(now time.Duration, checked *wire.Instance, connected bool) Output {
	c.now = max(c.now, now)
	r := c.instances[checked.GetId()]
	if r == nil || !r.live() || !connected || r.record.GetIncarnation() != checked.GetIncarnation() {
		return c.takeOutput()
	}
	if !c.responsible(r) {
		return c.takeOutput()
	}
	if r.record.GetHeardBy() != c.self.GetName() {
		r = c.adopt(r)
	}
	r.connectedAt = c.now
	return c.takeOutput()
}

func (c *Core) adopt(r *instance) *instance {
	next := clone(r.record)
	next.HeardBy = c.self.GetName()
	next.Revision++
	c.putInstance(next)
	adopted := c.instances[next.GetId()]
	adopted.adoptedUntil = c.now + adoptLimit
	return adopted
}

// expireInstances removes the tombstones of instances that have expired.
func (c *Core) expireInstances() {
	for id, r := range c.instances {
		if !r.live() && c.now-r.goneAt > tombstoneRetention {
			delete(c.instances, id)
		}
	}
}

// dropRemote drops all instance records that other hosts own. Those that are
// still valid are received again.
func (c *Core) dropRemote() {
	for id, r := range c.instances {
		if r.record.GetHeardBy() == c.self.GetName() {
			continue
		}
		c.unindexInstance(r.record)
		delete(c.instances, id)
		c.out.Instances = append(c.out.Instances, id)
	}
	sort.Strings(c.out.Instances)
}
