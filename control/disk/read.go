package disk

import (
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Contents is what a data folder holds, read without changing it.
type Contents struct {
	identity *wire.ReplicaIdentity
	saved    quorum.PersistentState
	segments []string
	records  uint64
}

// Identity returns the replica's identity.
func (c *Contents) Identity() *wire.ReplicaIdentity { return c.identity }

// PersistentState returns vote, snapshot and entries.
func (c *Contents) PersistentState() quorum.PersistentState { return c.saved }

// Segments returns the names of the log's files, oldest first.
func (c *Contents) Segments() []string { return c.segments }

// Records returns how many whole records the log's files hold.
func (c *Contents) Records() uint64 { return c.records }

// Read reads a folder without a lock and without cutting off a torn tail, so
// that the folder of a running host can be read too.
func Read(folder Folder) (*Contents, error) {
	s := &Store{folder: folder}
	saved, err := s.load(false)
	if err != nil {
		return nil, err
	}
	c := &Contents{identity: s.Identity(), saved: saved, records: s.sequence - s.segments[0].first + 1}
	for _, one := range s.segments {
		c.segments = append(c.segments, one.name)
	}
	return c, nil
}

// CreateFrom makes a new replica in an empty folder that starts from a
// snapshot. The identity is written last: a creation that a crash cut short
// leaves no replica.
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
