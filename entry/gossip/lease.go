package gossip

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of instances whose owner is lost.
const (
	checkInterval = time.Second
	// orphanGrace is the time that an instance has to move to another host
	// after its owner was called dead or left.
	orphanGrace = LeaseTime
	// adoptLimit ends an adoption that no heartbeat confirms.
	adoptLimit = 2 * time.Hour
	minChecks  = 3
)

// leaseTick looks after the instances that this host owns, itself or in the
// place of a lost owner.
func (c *Core) leaseTick() {
	var due []string
	for id, r := range c.instances {
		if r.live() && c.now >= r.leaseUntil && c.now >= r.checkAt && c.responsible(r) {
			due = append(due, id)
		}
	}
	sort.Strings(due)
	for _, id := range due {
		c.attend(c.instances[id])
	}
}

func (c *Core) responsible(r *record) bool {
	owner := r.message.GetHeardBy()
	return owner == c.self.GetName() || !c.alive(owner)
}

func (c *Core) attend(r *record) {
	if r.message.GetHeardBy() != c.self.GetName() {
		c.attendOrphan(r)
		return
	}
	if c.now < r.adoptedUntil && c.now < r.connectedAt+LeaseTime {
		c.check(r)
		return
	}
	c.endLease(r)
}

func (c *Core) endLease(r *record) {
	next := clone(r.message)
	next.Gone = true
	next.Revision++
	c.putInstance(next)
}

// attendOrphan lets one of the reachable hosts check an instance whose owner
// is lost. An instance that can be connected to is adopted: a partitioned half
// keeps serving what it can reach. One that cannot is called silent.
func (c *Core) attendOrphan(r *record) {
	lostFor := c.now - c.ownerLostAt(r)
	if lostFor < orphanGrace {
		return
	}
	r.checkAt = c.now + checkInterval
	switch {
	case lostFor > orphanLimit:
		c.endLease(r)
	case !c.chosenFor(r.message.GetId()):
	case lostFor > orphanGrace+LeaseTime && r.checks >= minChecks:
		c.endLease(r)
	default:
		c.check(r)
	}
}

// ownerLostAt is when this host lost the owner; an owner that was never known
// counts as lost when the record came.
func (c *Core) ownerLostAt(r *record) time.Duration {
	if h := c.hosts[r.message.GetHeardBy()]; h != nil {
		return h.lostAt
	}
	return r.since
}

// chosenFor reports whether this host has the largest weight for an id among
// the hosts that it can reach.
func (c *Core) chosenFor(id string) bool {
	mine := weight(id, c.self.GetName())
	for name, h := range c.hosts {
		if h.reachable() && weight(id, name) > mine {
			return false
		}
	}
	return true
}

func weight(id, host string) uint64 { return xxhash.Sum64String(id + "\x00" + host) }

func (c *Core) check(r *record) {
	r.checkAt = c.now + checkInterval
	r.checks++
	c.out.Checks = append(c.out.Checks, r.message)
}

// ReportCheck takes the result of a check: whether the instance could be connected
// to. Success makes this host the owner.
func (c *Core) ReportCheck(now time.Duration, checked *wire.Instance, connected bool) Output {
	c.now = max(c.now, now)
	r := c.instances[checked.GetId()]
	if r == nil || !r.live() || !connected || r.message.GetIncarnation() != checked.GetIncarnation() {
		return c.take()
	}
	if !c.responsible(r) {
		return c.take()
	}
	if r.message.GetHeardBy() != c.self.GetName() {
		r = c.adopt(r)
	}
	r.connectedAt = c.now
	return c.take()
}

func (c *Core) adopt(r *record) *record {
	next := clone(r.message)
	next.HeardBy = c.self.GetName()
	next.Revision++
	c.putInstance(next)
	adopted := c.instances[next.GetId()]
	adopted.adoptedUntil = c.now + adoptLimit
	return adopted
}

// forgetInstances drops records of instances that ended long ago.
func (c *Core) forgetInstances() {
	for id, r := range c.instances {
		if !r.live() && c.now-r.goneAt > tombstoneTime {
			delete(c.instances, id)
		}
	}
}

// forgetForeign drops all records that this host does not own; the others send
// what is still true.
func (c *Core) forgetForeign() {
	for id, r := range c.instances {
		if r.message.GetHeardBy() == c.self.GetName() {
			continue
		}
		c.unindexInstance(r.message)
		delete(c.instances, id)
		c.out.Instances = append(c.out.Instances, id)
	}
	sort.Strings(c.out.Instances)
}
