package state

import (
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Bounds of the records of instances.
const (
	// goneWindow is how long the record of an instance that ended is kept, so
	// that its late announcements change nothing; the longest delay of a
	// message is seconds.
	goneWindow = 20 * time.Minute
	// unnamedWindow is how long an instance that left without naming its start
	// is not taken back: an announcement that was held up may be the first one
	// of the start that left. Partitions hold messages for up to ten seconds.
	unnamedWindow = 15 * time.Second
	// maxGone bounds the records of ended instances.
	maxGone = 20_000
)

// instancesState holds the newest record of each instance. Records carry the
// revision of their last change, so that a reader asks for what is newer.
type instancesState struct {
	byID      map[string]*wire.Instance
	byAddress map[string]string // to the id of the instance that uses it
	revision  uint64
	gone      []goneInstance // oldest first
}

// goneInstance is an instance that ended at a time of the group's clock.
type goneInstance struct {
	id          string
	incarnation uint64
	at          int64
}

func (s *instancesState) reset() {
	*s = instancesState{byID: map[string]*wire.Instance{}, byAddress: map[string]string{}}
}

// announce takes what an instance said of itself, or a control host of its
// silence. Records are never changed in place: readers share them.
func (s *instancesState) announce(req *wire.Announcement, clock int64) *wire.AnnouncementResult {
	m := req.GetInstance()
	old := s.byID[m.GetId()]
	if m.GetGone() && m.GetIncarnation() == 0 {
		m = proto.Clone(m).(*wire.Instance)
		m.Incarnation = old.GetIncarnation() // it did not say which start it is
		m.LeftAt = max(clock, 1)
	}
	switch {
	case m.GetLeftAt() != 0 && old.GetGone():
		s.leftAgain(old, m.GetLeftAt())
		return &wire.AnnouncementResult{}
	case !m.GetGone() && justLeft(old, clock):
		return &wire.AnnouncementResult{Outdated: true}
	case m.GetSilent():
		return s.silence(old, m)
	case outdated(old, m) || s.overtaken(m):
		return &wire.AnnouncementResult{Outdated: true}
	case !ChangesRecord(old, m):
		return &wire.AnnouncementResult{}
	}
	next := proto.Clone(m).(*wire.Instance)
	if old.GetIncarnation() == m.GetIncarnation() && old.GetDraining() {
		next.Draining = true // for good: it may be acknowledged already
	}
	if next.GetAddress() == "" && old != nil { // it left without saying more
		next.Address, next.Service, next.Zone, next.Slots = old.GetAddress(), old.GetService(), old.GetZone(), old.GetSlots()
	}
	s.evict(next, clock)
	s.store(next, clock)
	return &wire.AnnouncementResult{Changed: true}
}

// justLeft reports whether an instance left without naming its start a short
// time ago.
func justLeft(old *wire.Instance, clock int64) bool {
	return old.GetLeftAt() != 0 && clock-old.GetLeftAt() < int64(unnamedWindow)
}

// leftAgain notes that an instance whose known start has ended left: it may have
// been a later start.
func (s *instancesState) leftAgain(old *wire.Instance, clock int64) {
	next := proto.Clone(old).(*wire.Instance)
	next.LeftAt = clock
	s.byID[next.GetId()] = next // nothing that readers use has changed
}

// outdated reports whether a message is of an earlier start, or was overtaken
// by a later one, or comes after the instance's end.
func outdated(old, m *wire.Instance) bool {
	switch {
	case old == nil || m.GetIncarnation() > old.GetIncarnation():
		return false
	case m.GetIncarnation() < old.GetIncarnation():
		return true
	}
	return old.GetGone() || (m.GetSequence() < old.GetSequence() && !m.GetLeft())
}

// overtaken reports whether an instance that started later uses the address.
func (s *instancesState) overtaken(m *wire.Instance) bool {
	other := s.byID[s.byAddress[m.GetAddress()]]
	return !m.GetGone() && other != nil && other.GetId() != m.GetId() && other.GetIncarnation() > m.GetIncarnation()
}

// ChangesRecord reports whether a message changes the record of an instance.
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

// silence marks an instance whose announcements stopped, if the host that
// heard it is still the one that says so.
func (s *instancesState) silence(old, m *wire.Instance) *wire.AnnouncementResult {
	if old == nil || old.GetIncarnation() != m.GetIncarnation() || old.GetHeardBy() != m.GetHeardBy() || old.GetSilent() || old.GetGone() {
		return &wire.AnnouncementResult{}
	}
	next := proto.Clone(old).(*wire.Instance)
	next.Silent = true
	s.revise(next)
	return &wire.AnnouncementResult{Changed: true}
}

// evict ends the record of an earlier instance at the address.
func (s *instancesState) evict(m *wire.Instance, clock int64) {
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
		s.gone = append(s.gone, goneInstance{id: m.GetId(), incarnation: m.GetIncarnation(), at: clock})
	} else {
		s.byAddress[m.GetAddress()] = m.GetId()
	}
	s.revise(m)
}

func (s *instancesState) revise(m *wire.Instance) {
	s.revision++
	m.Revision = s.revision
	s.byID[m.GetId()] = m
}

// expire forgets instances that ended long ago.
func (s *instancesState) expire(clock int64) {
	for len(s.gone) > 0 && (len(s.gone) > maxGone || clock-s.gone[0].at > int64(goneWindow)) {
		first := s.gone[0]
		s.gone = s.gone[1:]
		if m := s.byID[first.id]; m.GetGone() && m.GetIncarnation() == first.incarnation {
			delete(s.byID, first.id)
		}
	}
}

// since returns the records that changed after a revision, oldest first.
func (s *instancesState) since(revision uint64) []*wire.Instance {
	if revision >= s.revision {
		return nil
	}
	var all []*wire.Instance
	for _, m := range s.byID {
		if m.GetRevision() > revision && (revision > 0 || !m.GetGone()) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *wire.Instance) int { return int(a.GetRevision()) - int(b.GetRevision()) })
	return all
}

func (s *instancesState) save(out *wire.StateSnapshot) {
	out.InstancesRevision = s.revision
	for _, m := range s.byID {
		out.Instances = append(out.Instances, m)
	}
	slices.SortFunc(out.Instances, func(a, b *wire.Instance) int { return int(a.GetRevision()) - int(b.GetRevision()) })
}

func (s *instancesState) load(in *wire.StateSnapshot) {
	for _, m := range in.GetInstances() {
		s.byID[m.GetId()] = m
		if m.GetGone() {
			s.gone = append(s.gone, goneInstance{id: m.GetId(), incarnation: m.GetIncarnation(), at: in.GetClock()})
			continue
		}
		s.byAddress[m.GetAddress()] = m.GetId()
	}
	s.revision = in.GetInstancesRevision()
}

// Instances returns the records that changed after a revision, and the
// revision of the newest one. They are not to be changed.
func (m *Machine) Instances(after uint64) ([]*wire.Instance, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.instances.since(after), m.instances.revision
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
