package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Limits on instance records.
const (
	// endedRetention is how long the record of an ended instance is kept as a
	// tombstone, so that its delayed announcements are rejected. Messages are
	// delayed by a few seconds at most.
	endedRetention = 20 * time.Minute
	// rejoinHoldoff is how long announcements of an instance are rejected after
	// it left without stating its incarnation: a delayed announcement may be the
	// first one of the incarnation that left. Partitions delay messages by up to
	// ten seconds.
	rejoinHoldoff = 15 * time.Second
	// maxEnded limits the number of records of ended instances.
	maxEnded = 20_000
)

// instancesState holds the newest record of each instance. Each record has the
// revision of its last change, so that readers can request only newer records.
type instancesState struct {
	byID      map[string]*wire.Instance
	byAddress map[string]string // id of the instance that uses the address
	revision  uint64
	changes   []change        // oldest first; of each instance the latest one counts
	ended     []endedInstance // oldest first
}

// change is the revision of one change of an instance's record.
type change struct {
	id       string
	revision uint64
}

// minChanges is the number of changes from which superseded ones are dropped, if they are
// more than half.
const minChanges = 256

// endedInstance is an instance with the time on the group's clock when it ended.
type endedInstance struct {
	id          string
	incarnation uint64
	at          int64
}

func (s *instancesState) reset() {
	*s = instancesState{byID: map[string]*wire.Instance{}, byAddress: map[string]string{}}
}

// announce applies an announcement of an instance, or the report of a control host
// that the instance stopped announcing itself. Records are immutable, because
// readers share them: a change replaces the record.
func (s *instancesState) announce(req *wire.Announcement, clock int64) *wire.AnnouncementResult {
	m := req.GetInstance()
	old := s.byID[m.GetId()]
	if m.GetGone() && m.GetIncarnation() == 0 {
		m = proto.Clone(m).(*wire.Instance)
		m.Incarnation = old.GetIncarnation() // the announcement does not state one
		m.LeftAt = max(clock, 1)
	}
	switch {
	case m.GetLeftAt() != 0 && old.GetGone():
		s.recordLeave(old, m.GetLeftAt())
		return &wire.AnnouncementResult{}
	case !m.GetGone() && leftRecently(old, clock):
		return &wire.AnnouncementResult{Outdated: true}
	case m.GetSilent():
		return s.markSilent(old, m)
	case outdated(old, m) || s.superseded(m):
		return &wire.AnnouncementResult{Outdated: true}
	case !ChangesRecord(old, m):
		return &wire.AnnouncementResult{}
	}
	next := proto.Clone(m).(*wire.Instance)
	if old.GetIncarnation() == m.GetIncarnation() && old.GetDraining() {
		next.Draining = true // irrevocable, the drain may be acknowledged already
	}
	if next.GetAddress() == "" && old != nil { // a leave may state only the id
		next.Address, next.Service, next.Zone, next.Slots = old.GetAddress(), old.GetService(), old.GetZone(), old.GetSlots()
	}
	s.endPrevious(next, clock)
	s.store(next, clock)
	return &wire.AnnouncementResult{Changed: true}
}

// leftRecently reports whether an instance left within the rejoin hold-off without
// stating its incarnation.
func leftRecently(old *wire.Instance, clock int64) bool {
	return old.GetLeftAt() != 0 && clock-old.GetLeftAt() < int64(rejoinHoldoff)
}

// recordLeave renews the leave time of an instance that has already ended: the
// incarnation that left now may be a later one than the recorded one.
func (s *instancesState) recordLeave(old *wire.Instance, leftAt int64) {
	next := proto.Clone(old).(*wire.Instance)
	next.LeftAt = leftAt
	s.byID[next.GetId()] = next // same revision: nothing that readers use has changed
}

// outdated reports whether a message is from an earlier incarnation, was sent
// before the recorded one, or was received after the instance ended.
func outdated(old, m *wire.Instance) bool {
	switch {
	case old == nil || m.GetIncarnation() > old.GetIncarnation():
		return false
	case m.GetIncarnation() < old.GetIncarnation():
		return true
	}
	return old.GetGone() || (m.GetSequence() < old.GetSequence() && !m.GetLeft())
}

// superseded reports whether an instance that started later uses the address of m.
func (s *instancesState) superseded(m *wire.Instance) bool {
	other := s.byID[s.byAddress[m.GetAddress()]]
	return !m.GetGone() && other != nil && other.GetId() != m.GetId() && other.GetIncarnation() > m.GetIncarnation()
}

// ChangesRecord reports whether message m changes the record old of an instance.
func ChangesRecord(old, m *wire.Instance) bool {
	if old == nil || old.GetIncarnation() != m.GetIncarnation() || old.GetSilent() {
		return true
	}
	if m.GetGone() {
		return !old.GetGone()
	}
	return old.GetService() != m.GetService() || old.GetAddress() != m.GetAddress() || old.GetZone() != m.GetZone() ||
		old.GetSlots() != m.GetSlots() || old.GetCold() != m.GetCold() || old.GetHeardBy() != m.GetHeardBy() ||
		m.GetDraining() && !old.GetDraining()
}

// markSilent marks an instance as silent if the reporting host is still the one
// that received its latest announcement.
func (s *instancesState) markSilent(old, m *wire.Instance) *wire.AnnouncementResult {
	if old == nil || old.GetIncarnation() != m.GetIncarnation() || old.GetHeardBy() != m.GetHeardBy() || old.GetSilent() || old.GetGone() {
		return &wire.AnnouncementResult{}
	}
	next := proto.Clone(old).(*wire.Instance)
	next.Silent = true
	s.putRevision(next)
	return &wire.AnnouncementResult{Changed: true}
}

// endPrevious marks another instance that used the address of m as ended.
func (s *instancesState) endPrevious(m *wire.Instance, clock int64) {
	if m.GetGone() {
		return
	}
	other := s.byID[s.byAddress[m.GetAddress()]]
	if other == nil || other.GetId() == m.GetId() {
		return
	}
	ended := proto.Clone(other).(*wire.Instance)
	ended.Gone = true
	s.store(ended, clock)
}

func (s *instancesState) store(m *wire.Instance, clock int64) {
	if old := s.byID[m.GetId()]; old != nil && s.byAddress[old.GetAddress()] == m.GetId() {
		delete(s.byAddress, old.GetAddress())
	}
	if m.GetGone() {
		s.addEnded(m, clock)
	} else {
		s.byAddress[m.GetAddress()] = m.GetId()
	}
	s.putRevision(m)
}

// addEnded records when an instance ended, also in its record: a machine that is
// restored from a snapshot must drop the record at the same time.
func (s *instancesState) addEnded(m *wire.Instance, at int64) {
	m.LeaseUntil = at + int64(endedRetention)
	s.ended = append(s.ended, endedInstance{id: m.GetId(), incarnation: m.GetIncarnation(), at: at})
}

func (s *instancesState) putRevision(m *wire.Instance) {
	s.revision++
	m.Revision = s.revision
	s.byID[m.GetId()] = m
	s.changes = append(s.changes, change{id: m.GetId(), revision: s.revision})
	if len(s.changes) >= minChanges && len(s.changes) > 2*len(s.byID) {
		s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return s.byID[c.id].GetRevision() != c.revision })
	}
}

// expire removes instances whose tombstone retention has ended.
func (s *instancesState) expire(clock int64) {
	for len(s.ended) > 0 && (len(s.ended) > maxEnded || clock-s.ended[0].at > int64(endedRetention)) {
		first := s.ended[0]
		s.ended = s.ended[1:]
		if m := s.byID[first.id]; m.GetGone() && m.GetIncarnation() == first.incarnation {
			delete(s.byID, first.id)
		}
	}
}

// changedSince returns the records that changed after a revision, oldest first. At
// revision 0, where a reader has no records yet, ended instances are left out.
func (s *instancesState) changedSince(revision uint64) []*wire.Instance {
	if revision >= s.revision {
		return nil
	}
	first, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c change, r uint64) int { return cmp.Compare(c.revision, r) })
	var all []*wire.Instance
	for _, c := range s.changes[first:] {
		m := s.byID[c.id]
		if m.GetRevision() == c.revision && (revision > 0 || !m.GetGone()) {
			all = append(all, m)
		}
	}
	return all
}

func (s *instancesState) save(out *wire.StateSnapshot) {
	out.InstancesRevision = s.revision
	for _, m := range s.byID {
		out.Instances = append(out.Instances, m)
	}
	slices.SortFunc(out.Instances, func(a, b *wire.Instance) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
}

func (s *instancesState) load(in *wire.StateSnapshot) {
	for _, m := range in.GetInstances() { // in the order of their revisions
		s.byID[m.GetId()] = m
		s.changes = append(s.changes, change{id: m.GetId(), revision: m.GetRevision()})
		if m.GetGone() {
			s.addEnded(m, endedAt(m, in.GetClock()))
			continue
		}
		s.byAddress[m.GetAddress()] = m.GetId()
	}
	s.revision = in.GetInstancesRevision()
}

// endedAt returns when an instance of a snapshot ended. Snapshots of older builds do
// not state it: the record is then kept for the whole retention from the time of the
// snapshot, since late announcements must not be accepted too early.
func endedAt(m *wire.Instance, clock int64) int64 {
	if m.GetLeaseUntil() == 0 {
		return clock
	}
	return min(m.GetLeaseUntil()-int64(endedRetention), clock)
}

// Instances returns the records that changed after a revision, and the revision of
// the newest one. The records must not be modified.
func (m *Machine) Instances(after uint64) ([]*wire.Instance, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.instances.changedSince(after), m.instances.revision
}

// InstancesRevision returns the revision of the newest record.
func (m *Machine) InstancesRevision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.instances.revision
}

// Instance returns the record of an instance, or nil.
func (m *Machine) Instance(id string) *wire.Instance {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.instances.byID[id]
}

// InstanceAt returns the record of the instance that uses an address, or nil.
func (m *Machine) InstanceAt(address string) *wire.Instance {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.instances.byID[m.instances.byAddress[address]]
}

// Ended reports whether an incarnation of an instance has ended because a later one uses its
// identifier or its address. One that left by its own announcement may still run.
func (m *Machine) Ended(incarnation string) bool {
	id, n := instance.SplitIncarnated(incarnation)
	record := m.Instance(id)
	switch {
	case record == nil || n == 0:
		return false
	case record.GetIncarnation() == n:
		return record.GetGone() && !record.GetLeft() && record.GetLeftAt() == 0
	}
	return record.GetIncarnation() > n
}
