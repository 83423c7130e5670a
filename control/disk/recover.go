package disk

import (
	"syscall"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/quorum"
)

// OutOfSpace reports whether the store rejects writes because the disk was full. Recover can
// then reopen it. After another failed write or sync it cannot: what the disk holds is
// unknown, and a later sync that succeeds says nothing of earlier writes.
func (s *Store) OutOfSpace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return isOutOfSpace(s.failed)
}

func isOutOfSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Recover reopens a store that was out of space, as a restart of the process does, and
// returns what it holds: everything that was written successfully, and possibly the write that
// failed. It fails as long as the disk is full, and for good after any other error. No snapshot
// may be in progress.
func (s *Store) Recover() (quorum.PersistentState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isOutOfSpace(s.failed) {
		return quorum.PersistentState{}, errors.Wrap(ErrFailed, "recover")
	}
	saved, err := s.reload()
	if err != nil {
		if s.file != nil {
			_ = s.file.Close()
			s.file = nil
		}
		if !isOutOfSpace(err) {
			s.failed = err
		}
		return quorum.PersistentState{}, errors.Wrap(err, "recover")
	}
	s.failed = nil
	return saved, nil
}

// reload drops the bytes of a failed write and reads the folder again. The vote that it
// writes at the end proves that there is room.
func (s *Store) reload() (quorum.PersistentState, error) {
	if s.file != nil {
		if err := s.file.Truncate(s.size); err != nil {
			return quorum.PersistentState{}, errors.Wrap(err, "truncate failed write")
		}
		if err := s.file.Sync(); err != nil {
			return quorum.PersistentState{}, errors.Wrap(err, "sync log")
		}
		if err := s.file.Close(); err != nil {
			return quorum.PersistentState{}, errors.Wrap(err, "close segment")
		}
		s.file = nil
	}
	s.segments, s.sequence, s.size, s.vote = nil, 0, 0, nil
	saved, err := s.load(true)
	if err != nil {
		return quorum.PersistentState{}, err
	}
	return saved, s.append(s.voteRecord())
}
