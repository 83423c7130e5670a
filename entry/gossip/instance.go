package gossip

import (
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Errors of an announcement.
var (
	// ErrOldIncarnation means that a later start of the instance is known.
	ErrOldIncarnation = errors.New("a later incarnation of the instance is known")
	// ErrLeft means that this incarnation said that it leaves.
	ErrLeft = errors.New("this incarnation of the instance has left")
	// ErrTooLarge means that the announcement does not fit into a datagram.
	ErrTooLarge = errors.New("the announcement has no id or is too large")
)

// MaxInstanceBytes bounds an encoded announcement.
const MaxInstanceBytes = 512

// record is what this core knows of one instance.
type record struct {
	message    *wire.Instance
	since      time.Duration // when this record came
	goneAt     time.Duration
	heard      bool          // this host heard this incarnation itself
	leaseUntil time.Duration // end of the lease that this host gave

	checks       int // of an instance whose owner is lost
	checkAt      time.Duration
	connectedAt  time.Duration
	adoptedUntil time.Duration
}

func (r *record) live() bool { return !r.message.GetGone() }

// newerInstance orders records of one instance. A later incarnation wins;
// leaving is final for one incarnation; the host that hears the instance
// raises the revision; with the same revision a live record wins, then a
// draining one. A host that lost its state may use a revision twice, so the
// whole record decides in the end; the owner corrects it at the next heartbeat.
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

// Announce takes an instance's own announcement and renews its lease. Only a
// change is passed on.
func (c *Core) Announce(now time.Duration, m *wire.Instance) (Output, error) {
	c.now = max(c.now, now)
	if err := checkInstance(m); err != nil {
		return c.take(), err
	}
	known := c.instances[m.GetId()]
	next := clone(m)
	next.HeardBy, next.Revision, next.Gone, next.Left = c.self.GetName(), 1, false, false
	if known != nil {
		if err := follow(next, known.message); err != nil {
			return c.take(), err
		}
		if late(next, known.message) {
			return c.take(), nil
		}
	}
	if known == nil || changed(next, known.message) {
		c.putInstance(next)
	}
	mine := c.instances[m.GetId()]
	mine.heard, mine.leaseUntil, mine.adoptedUntil = true, c.now+LeaseTime, 0
	return c.take(), nil
}

func checkInstance(m *wire.Instance) error {
	if m.GetId() == "" || proto.Size(m) > MaxInstanceBytes {
		return ErrTooLarge
	}
	_, err := proto.Marshal(m)
	return errors.Wrap(err, "encode announcement") // for example text that is not UTF-8
}

// follow gives an announcement its place after the known record.
func follow(next, known *wire.Instance) error {
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

// late reports whether the instance said something newer already.
func late(next, known *wire.Instance) bool {
	return next.GetIncarnation() == known.GetIncarnation() &&
		next.GetSequence() != 0 && next.GetSequence() < known.GetSequence()
}

func changed(next, known *wire.Instance) bool {
	a, b := clone(next), clone(known)
	a.Revision, a.Sequence = b.GetRevision(), b.GetSequence()
	return !proto.Equal(a, b)
}

// Withdraw takes an instance's own word that it leaves. Incarnation 0 means the
// one that is known.
func (c *Core) Withdraw(now time.Duration, id string, incarnation uint64) (Output, error) {
	c.now = max(c.now, now)
	known := c.instances[id]
	if known == nil {
		return c.take(), nil
	}
	if incarnation != 0 && incarnation < known.message.GetIncarnation() {
		return c.take(), ErrOldIncarnation
	}
	if known.message.GetLeft() && incarnation <= known.message.GetIncarnation() {
		return c.take(), nil
	}
	next := clone(known.message)
	next.Incarnation = max(incarnation, next.GetIncarnation())
	next.Gone, next.Left, next.HeardBy = true, true, c.self.GetName()
	next.Revision++
	c.putInstance(next)
	return c.take(), nil
}

// Instance returns what is known of an instance, nil if nothing is.
func (c *Core) Instance(id string) *wire.Instance {
	if r := c.instances[id]; r != nil {
		return r.message
	}
	return nil
}

// Usable reports whether an instance is announced and not gone.
func (c *Core) Usable(id string) bool {
	r := c.instances[id]
	return r != nil && r.live()
}

// Instances returns the instances that are announced and not gone, in order.
func (c *Core) Instances() []*wire.Instance {
	var all []*wire.Instance
	for _, r := range c.instances {
		if r.live() {
			all = append(all, r.message)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetId() < all[j].GetId() })
	return all
}

func (c *Core) putInstance(m *wire.Instance) {
	id := m.GetId()
	r := &record{message: m, since: c.now}
	if old := c.instances[id]; old != nil {
		c.unindexInstance(old.message)
		if old.message.GetIncarnation() == m.GetIncarnation() {
			r.heard, r.leaseUntil = old.heard, old.leaseUntil
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
	c.news.add(instanceKey(id), m.GetGone() || m.GetDraining())
	c.out.Instances = append(c.out.Instances, id)
}

// mergeInstance takes a record that another host passed on, if it is newer. It
// reports whether the given record is older than the known one.
func (c *Core) mergeInstance(m *wire.Instance) (stale bool) {
	if m.GetId() == "" || proto.Size(m) > maxRecordBytes {
		return false
	}
	known := c.instances[m.GetId()]
	if known != nil && !newerInstance(m, known.message) {
		stale = newerInstance(known.message, m)
		if !stale {
			c.news.heard(instanceKey(m.GetId()), c.spreadLimit())
		}
		return stale
	}
	if known != nil && known.heard && known.live() && c.now < known.leaseUntil && silenced(m, known.message) {
		c.revive(known, m)
		return true
	}
	c.putInstance(m)
	if m.GetHeardBy() == c.self.GetName() && !m.GetGone() {
		c.instances[m.GetId()].leaseUntil = c.now + LeaseTime // this host lost its state
	}
	return false
}

// silenced reports whether another host lost sight of an instance that has
// neither left nor started again.
func silenced(m, known *wire.Instance) bool {
	return m.GetGone() && !m.GetLeft() && m.GetIncarnation() == known.GetIncarnation()
}

// revive answers a report of silence on an instance that this host hears.
func (c *Core) revive(known *record, silent *wire.Instance) {
	next := clone(known.message)
	next.HeardBy = c.self.GetName()
	next.Revision = silent.GetRevision() + 1
	c.putInstance(next)
}
