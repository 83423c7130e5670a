// Package disk stores a replica's durable state in one data folder: its
// identity, its term and vote, the entries of its log, and snapshots.
//
// The log is a write-ahead log in a sequence of segment files. A record carries
// its length, a sequence number and a checksum. Bytes after the last complete
// record of the last segment are a torn write, left by a crash, and are
// truncated when the folder is opened; corruption anywhere else is an error
// that names file and offset. After a failed write or sync the content of the
// file is unknown, so the store rejects all further writes.
//
// Usage:
//
//	store, saved, err := disk.Open(folder)
//	defer store.Close()
//	err = store.Write(vote, entries)   // one sync
//	err = store.SaveSnapshot(snapshot) // from any goroutine
//	err = store.Compact(index)
package disk

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// ErrFailed means that an earlier write or sync failed and that the store
// rejects all further writes.
var ErrFailed = errors.New("an earlier write or sync failed, the store is read-only")

// ErrEmpty means that a folder contains no replica yet.
var ErrEmpty = errors.New("the data folder contains no replica")

// File is an open file of a data folder.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes all earlier writes durable.
	Sync() error
	// Truncate shortens the file to a size.
	Truncate(size int64) error
}

// Folder is a data folder. File names contain no path.
type Folder interface {
	// Lock locks the folder for this process until the result is closed.
	Lock() (io.Closer, error)
	// Open opens a file for reading from its start and for appending.
	Open(name string) (File, error)
	// Create creates an empty file.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Names lists the files in lexical order.
	Names() ([]string, error)
	// Sync makes the creation, renaming and removal of files durable.
	Sync() error
}

// Store is the durable state of one replica.
type Store struct {
	folder   Folder
	lock     io.Closer
	identity atomic.Pointer[wire.ReplicaIdentity]
	maxBytes int64 // size at which the log rotates to a new segment

	mu       sync.Mutex
	failed   error
	file     File
	size     int64
	sequence uint64 // of the last record
	vote     *wire.SavedVote
	segments []segment // oldest first; records are appended to the last one
}

// defaultSegmentBytes is the size at which the log rotates to a new segment.
const defaultSegmentBytes = 8 << 20

// Option configures a store.
type Option func(*Store)

// WithSegmentBytes sets the size at which the log rotates to a new segment.
func WithSegmentBytes(n int64) Option { return func(s *Store) { s.maxBytes = n } }

// Create initializes a new replica in an empty folder.
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
			return errors.New("the data folder already contains a replica")
		}
		// Files of an interrupted creation: the identity is written last, so
		// without one no replica has used them.
		if name != lockName && !strings.HasPrefix(name, AsidePrefix) {
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

// Open opens the replica of a folder. It returns ErrEmpty if there is none.
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

// Err returns the error after which the store rejects writes, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Close closes the files and releases the lock of the folder.
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

// fail records the first failure, after which the store rejects writes.
func (s *Store) fail(err error, action string) error {
	err = errors.Wrap(err, action)
	if s.failed == nil {
		s.failed = err
	}
	return err
}
