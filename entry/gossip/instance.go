package gossip

import (
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Errors of an announcement or a withdrawal.
var (
	// ErrOldIncarnation means that a later incarnation of the instance is known.
	ErrOldIncarnation = errors.New("a later incarnation of the instance is known")
	// ErrLeft means that this incarnation was withdrawn.
	ErrLeft = errors.New("this incarnation of the instance has left")
	// ErrTooLarge means that the announcement has no id or does not fit into a
	// datagram.
	ErrTooLarge = errors.New("the announcement has no id or is too large")
)

// MaxInstanceBytes limits the encoded size of an announcement.
const MaxInstanceBytes = 512

// instance is the local state of one instance.
type instance struct {
	record        *wire.Instance
	receivedAt    time.Duration // when this record was received
	goneAt        time.Duration
	announcedHere bool          // this incarnation announced itself to this host
	leaseUntil    time.Duration // end of the lease that this host granted

	checks       int // connection checks of an orphan
	checkAt      time.Duration
	connectedAt  time.Duration
	adoptedUntil time.Duration
}

func (r *instance) live() bool { return !r.record.GetGone() }

// newerInstance reports whether a supersedes b, two records of one instance. A
// later incarnation wins. Within an incarnation, a withdrawal is final; then the
// higher revision wins, which the owner raises; then a live record; then a
// draining one. A host that lost its state may reuse a revision, so the digest of
// the record is the tie-breaker; the owner corrects it at the next heartbeat.
func newerInstance(a, b *wire.Instance) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetLeft() != b.GetLeft() {
		return a.GetLeft()
	}
	if a.GetRevision() != b.GetRevision() {
		return a.GetRevision() > b.GetRevision()
	}
	if a.GetGone() != b.GetGone() {
		return b.GetGone()
	}
	if a.GetDraining() != b.GetDraining() {
		return a.GetDraining()
	}
	return instanceDigest(a) > instanceDigest(b)
}

// Announce handles an announcement or heartbeat that this host received from an
// instance, and renews its lease. Only changes are disseminated.
func (c *Core) Announce(now time.Duration, m *wire.Instance) (Output, error) {
	c.now = max(c.now, now)
	if err := checkInstance(m); err != nil {
		return c.takeOutput(), err
	}
	known := c.instances[m.GetId()]
	next := clone(m)
	next.HeardBy, next.Revision, next.Gone, next.Left = c.self.GetName(), 1, false, false
	if known != nil {
		if err := assignRevision(next, known.record); err != nil {
			return c.takeOutput(), err
		}
		if outOfOrder(next, known.record) {
			return c.takeOutput(), nil
		}
	}
	if known == nil || changed(next, known.record) {
		c.putInstance(next)
	}
	mine := c.instances[m.GetId()]
	mine.announcedHere, mine.leaseUntil, mine.adoptedUntil = true, c.now+LeaseTime, 0
	return c.takeOutput(), nil
}

func checkInstance(m *wire.Instance) error {
	if m.GetId() == "" || proto.Size(m) > MaxInstanceBytes {
		return ErrTooLarge
	}
	_, err := proto.Marshal(m)
	return errors.Wrap(err, "encode announcement") // for example invalid UTF-8
}

// assignRevision sets the incarnation and revision of an announcement so that it
// supersedes the known record.
func assignRevision(next, known *wire.Instance) error {
	if next.GetIncarnation() == 0 {
		next.Incarnation = known.GetIncarnation()
		if known.GetGone() {
			next.Incarnation++
		}
	}
	switch {
	case next.GetIncarnation() < known.GetIncarnation():
		return ErrOldIncarnation
	case next.GetIncarnation() > known.GetIncarnation():
		return nil
	case known.GetLeft():
		return ErrLeft
	}
	next.Revision = known.GetRevision() + 1
	return nil
}

// outOfOrder reports whether a later announcement was already received.
func outOfOrder(next, known *wire.Instance) bool {
	return next.GetIncarnation() == known.GetIncarnation() &&
		next.GetSequence() != 0 && next.GetSequence() < known.GetSequence()
}

func changed(next, known *wire.Instance) bool {
	a, b := clone(next), clone(known)
	a.Revision, a.Sequence = b.GetRevision(), b.GetSequence()
	if a.GetCold() == b.GetCold() {
		a.WarmupLeftNs = b.GetWarmupLeftNs() // a renewal counts it down
	}
	return !proto.Equal(a, b)
}

// Withdraw handles the notice of an instance that it leaves. Incarnation 0 means
// the known one.
func (c *Core) Withdraw(now time.Duration, id string, incarnation uint64) (Output, error) {
	c.now = max(c.now, now)
	known := c.instances[id]
	if known == nil {
		return c.takeOutput(), nil
	}
	if incarnation != 0 && incarnation < known.record.GetIncarnation() {
		return c.takeOutput(), ErrOldIncarnation
	}
	if known.record.GetLeft() && incarnation <= known.record.GetIncarnation() {
		return c.takeOutput(), nil
	}
	next := clone(known.record)
	next.Incarnation = max(incarnation, next.GetIncarnation())
	next.Gone, next.Left, next.HeardBy = true, true, c.self.GetName()
	next.Revision++
	c.putInstance(next)
	return c.takeOutput(), nil
}

// Instance returns the record of an instance, or nil if there is none.
func (c *Core) Instance(id string) *wire.Instance {
	if r := c.instances[id]; r != nil {
		return r.record
	}
	return nil
}

// Usable reports whether an instance has a live record.
func (c *Core) Usable(id string) bool {
	r := c.instances[id]
	return r != nil && r.live()
}

// Instances returns the live records, ordered by instance id.
func (c *Core) Instances() []*wire.Instance {
	var all []*wire.Instance
	for _, r := range c.instances {
		if r.live() {
			all = append(all, r.record)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetId() < all[j].GetId() })
	return all
}

func (c *Core) putInstance(m *wire.Instance) {
	id := m.GetId()
	r := &instance{record: m, receivedAt: c.now}
	if old := c.instances[id]; old != nil {
		c.unindexInstance(old.record)
		if old.record.GetIncarnation() == m.GetIncarnation() {
			r.announcedHere, r.leaseUntil = old.announcedHere, old.leaseUntil
		}
		r.goneAt = old.goneAt
		if old.live() && m.GetGone() {
			r.goneAt = c.now
		}
	} else if m.GetGone() {
		r.goneAt = c.now
	}
	c.instances[id] = r
	c.indexInstance(m)
	c.updates.add(instanceKey(id), m.GetGone() || m.GetDraining())
	c.out.Instances = append(c.out.Instances, id)
}

// mergeInstance applies a record received from another host if it supersedes the
// known one. It reports whether the received record is older than the known one.
func (c *Core) mergeInstance(m *wire.Instance) (stale bool) {
	if m.GetId() == "" || proto.Size(m) > maxRecordBytes {
		return false
	}
	known := c.instances[m.GetId()]
	if known != nil && !newerInstance(m, known.record) {
		stale = newerInstance(known.record, m)
		if !stale {
			c.updates.countDuplicate(instanceKey(m.GetId()), c.transmitLimit())
		}
		return stale
	}
	if known != nil && known.announcedHere && known.live() && c.now < known.leaseUntil && expiredElsewhere(m, known.record) {
		c.refuteExpiry(known, m)
		return true
	}
	c.putInstance(m)
	if m.GetHeardBy() == c.self.GetName() && !m.GetGone() {
		c.instances[m.GetId()].leaseUntil = c.now + LeaseTime // this host owned the instance and lost its state
	}
	return false
}

// expiredElsewhere reports whether m marks the known incarnation as gone because
// it fell silent at another host, not because it was withdrawn.
func expiredElsewhere(m, known *wire.Instance) bool {
	return m.GetGone() && !m.GetLeft() && m.GetIncarnation() == known.GetIncarnation()
}

// refuteExpiry supersedes a record that marks an instance as gone although this
// host receives its heartbeats.
func (c *Core) refuteExpiry(known *instance, silent *wire.Instance) {
	next := clone(known.record)
	next.HeardBy = c.self.GetName()
	next.Revision = silent.GetRevision() + 1
	c.putInstance(next)
}
