package fleet

import (
	"maps"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/world/evidence"
	"github.com/snipebeam/snipebeam/world/wire"
)

// suspects holds what entry hosts report of requests that were in flight when instances
// were lost.
type suspects struct {
	mu        sync.Mutex
	book      *evidence.Book
	revisions map[uint64]uint64 // revision of each record's last change
	revision  uint64
	notify    chan struct{} // closed at the next loss
}

func newSuspects() suspects {
	// Hosts that polled an earlier process have lower revisions.
	return suspects{book: evidence.NewBook(), revisions: map[uint64]uint64{}, revision: uint64(time.Now().UnixNano()), notify: make(chan struct{})}
}

// add merges the suspects that a host reported. Excuses wait for the next poll of each host.
func (s *suspects) add(reported []*wire.Suspect, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := false
	for _, suspect := range reported {
		change := s.book.Merge(suspect, now)
		if change == evidence.Unchanged {
			continue
		}
		s.revision++
		s.revisions[suspect.GetFingerprint()] = s.revision
		lost = lost || change == evidence.Added
	}
	if len(s.revisions) > s.book.Len() {
		maps.DeleteFunc(s.revisions, func(fp, _ uint64) bool { return s.book.Record(fp) == nil })
	}
	if lost {
		close(s.notify)
		s.notify = make(chan struct{})
	}
}

// Suspects returns the suspects that changed after the given revision, and the
// latest revision. Revisions are local to this control host.
func (f *Fleet) Suspects(after uint64, now time.Time) ([]*wire.Suspect, uint64) {
	s := &f.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == s.revision {
		return nil, s.revision
	}
	if after > s.revision { // of an earlier process, before the clock went back
		after = 0
	}
	var all []*wire.Suspect
	for fp, revision := range s.revisions {
		if revision > after {
			all = append(all, s.book.Record(fp).Message(fp, now))
		}
	}
	return all, s.revision
}

// SuspectsChanged returns a channel that is closed at the next loss of an instance under a
// request.
func (f *Fleet) SuspectsChanged() <-chan struct{} {
	f.suspects.mu.Lock()
	defer f.suspects.mu.Unlock()
	return f.suspects.notify
}
