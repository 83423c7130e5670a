// Package disk keeps a replica's durable state in one data folder: its
// identity, its term and vote, the entries of its log, and snapshots.
//
// The log is a chain of segment files. A record carries its length, a sequence
// number and a checksum. What follows the last whole record of the last
// segment is the tail of a write that a crash cut short and is cut off; damage
// anywhere else is refused with file and offset. A failed write or sync is
// final: what the file holds is then unknown, so nothing is written any more.
//
// Usage:
//
//	store, saved, err := disk.Open(folder)
//	defer store.Close()
//	err = store.Write(vote, entries)   // one sync
//	err = store.SaveSnapshot(snapshot) // from any goroutine
//	err = store.Truncate(index)
package disk

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// ErrFailed means that an earlier write or sync failed and that this store
// writes nothing any more.
var ErrFailed = errors.New("the disk failed earlier, nothing is written any more")

// ErrEmpty means that a folder holds no replica yet.
var ErrEmpty = errors.New("the data folder holds no replica")

// File is an open file of a data folder.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes what was written durable.
	Sync() error
	// Truncate cuts the file.
	Truncate(size int64) error
}

// Folder is a data folder. Names are without a path.
type Folder interface {
	// Lock takes the folder for this process, until the result is closed.
	Lock() (io.Closer, error)
	// Open opens a file to read it from its start and to write at its end.
	Open(name string) (File, error)
	// Create makes an empty file.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Names lists the files in order.
	Names() ([]string, error)
	// Sync makes created, renamed and removed names durable.
	Sync() error
}

// Store is the durable state of one replica.
type Store struct {
	folder   Folder
	lock     io.Closer
	identity atomic.Pointer[wire.ReplicaIdentity]
	maxBytes int64 // size at which a segment is closed

	mu       sync.Mutex
	failed   error
	file     File
	size     int64
	sequence uint64 // of the last record
	vote     *wire.SavedVote
	segments []segment // oldest first, the last one is written
}

// defaultSegmentBytes is the size at which a segment is closed.
const defaultSegmentBytes = 8 << 20

// Option changes how a store works.
type Option func(*Store)

// WithSegmentBytes sets the size at which a segment is closed.
func WithSegmentBytes(n int64) Option { return func(s *Store) { s.maxBytes = n } }

// Create makes a new replica in an empty folder.
func Create(folder Folder, identity *wire.ReplicaIdentity, opts ...Option) (*Store, error) {
	s, err := lockFolder(folder, opts)
	if err != nil {
		return nil, err
	}
	if err := s.create(identity, nil); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) create(identity *wire.ReplicaIdentity, snapshot *wire.LogSnapshot) error {
	names, err := s.folder.Names()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if name == identityName {
			return errors.New("the data folder holds a replica already")
		}
		// Left by a creation that did not finish: without an identity no
		// replica has ever used them.
		if name != lockName {
			if err := s.folder.Remove(name); err != nil {
				return errors.Wrap(err, "clear data folder")
			}
		}
	}
	if err := s.rotate(); err != nil {
		return err
	}
	if snapshot != nil {
		if err := s.SaveSnapshot(snapshot); err != nil {
			return err
		}
	}
	return s.saveIdentity(identity)
}

// Open reads the replica of a folder. ErrEmpty is returned if there is none.
func Open(folder Folder, opts ...Option) (*Store, quorum.PersistentState, error) {
	s, err := lockFolder(folder, opts)
	if err != nil {
		return nil, quorum.PersistentState{}, err
	}
	saved, err := s.load(true)
	if err != nil {
		_ = s.Close()
		return nil, quorum.PersistentState{}, err
	}
	return s, saved, nil
}

func lockFolder(folder Folder, opts []Option) (*Store, error) {
	s := &Store{folder: folder, maxBytes: defaultSegmentBytes}
	for _, opt := range opts {
		opt(s)
	}
	lock, err := folder.Lock()
	if err != nil {
		return nil, errors.Wrap(err, "lock data folder")
	}
	s.lock = lock
	return s, nil
}

// Identity returns the replica's identity.
func (s *Store) Identity() *wire.ReplicaIdentity { return s.identity.Load() }

// Err returns the failure that stopped the store, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Close closes the files and gives the folder free.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
	if s.failed == nil {
		s.failed = errors.New("the store is closed")
	}
	return s.lock.Close()
}

// fail records the first failure; every later write is refused.
func (s *Store) fail(err error, doing string) error {
	err = errors.Wrap(err, doing)
	if s.failed == nil {
		s.failed = err
	}
	return err
}
