package disk

import (
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Contents is a read-only view of a data folder.
type Contents struct {
	identity *wire.ReplicaIdentity
	saved    quorum.PersistentState
	segments []string
	records  uint64
}

// Identity returns the replica's identity.
func (c *Contents) Identity() *wire.ReplicaIdentity { return c.identity }

// PersistentState returns the vote, the snapshot and the entries after it.
func (c *Contents) PersistentState() quorum.PersistentState { return c.saved }

// Segments returns the names of the log's segments, oldest first.
func (c *Contents) Segments() []string { return c.segments }

// Records returns the number of complete records in the log's segments.
func (c *Contents) Records() uint64 { return c.records }

// Read reads a folder without locking it and without truncating a torn tail,
// so that the folder of a running host can be read too.
func Read(folder Folder) (*Contents, error) {
	s := &Store{folder: folder}
	saved, err := s.load(false)
	if err != nil {
		return nil, err
	}
	c := &Contents{identity: s.Identity(), saved: saved, records: s.sequence - s.segments[0].first + 1}
	for _, seg := range s.segments {
		c.segments = append(c.segments, seg.name)
	}
	return c, nil
}

// CreateFrom initializes a new replica in an empty folder from a snapshot. The
// identity is written last, so a creation that a crash interrupts leaves no
// replica.
func CreateFrom(folder Folder, identity *wire.ReplicaIdentity, snapshot *wire.LogSnapshot, opts ...Option) (*Store, error) {
	s, err := lockFolder(folder, opts)
	if err != nil {
		return nil, err
	}
	s.vote = &wire.SavedVote{Term: snapshot.GetTerm()}
	if err := s.create(identity, snapshot); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}
