package fleet

import (
	"slices"
	"sync"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxSuspects limits the fingerprints that are kept. An evicted poison request
// is reported again when it arrives again.
const maxSuspects = 256

// suspects holds the fingerprints, reported by entry hosts, of requests that were
// in flight when connections to instances were lost.
type suspects struct {
	mu        sync.Mutex
	all       []*wire.Suspect // ordered by last change
	revisions []uint64        // revision of each suspect's last change
	revision  uint64
	notify    chan struct{} // closed at the next change
}

func newSuspects() suspects { return suspects{notify: make(chan struct{})} }

// add merges the suspects that a host reported.
func (s *suspects) add(reported []*wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	for _, suspect := range reported {
		s.merge(suspect)
	}
	if s.revision != before {
		close(s.notify)
		s.notify = make(chan struct{})
	}
}

func (s *suspects) merge(reported *wire.Suspect) {
	at := slices.IndexFunc(s.all, func(old *wire.Suspect) bool { return old.GetFingerprint() == reported.GetFingerprint() })
	merged := &wire.Suspect{Fingerprint: reported.GetFingerprint(), Instances: slices.Clone(reported.GetInstances()), RefusedUntil: reported.GetRefusedUntil()}
	if at >= 0 {
		old := s.all[at]
		for _, id := range old.GetInstances() {
			if !slices.Contains(merged.Instances, id) {
				merged.Instances = append(merged.Instances, id)
			}
		}
		merged.RefusedUntil = max(merged.RefusedUntil, old.GetRefusedUntil())
		if len(merged.Instances) == len(old.GetInstances()) && merged.RefusedUntil == old.GetRefusedUntil() {
			return
		}
		s.all, s.revisions = slices.Delete(s.all, at, at+1), slices.Delete(s.revisions, at, at+1)
	}
	s.revision++
	s.all, s.revisions = append(s.all, merged), append(s.revisions, s.revision)
	if len(s.all) > maxSuspects {
		s.all, s.revisions = s.all[1:], s.revisions[1:]
	}
}

// Suspects returns the suspects that changed after the given revision, and the
// latest revision. Revisions are local to this control host.
func (f *Fleet) Suspects(after uint64) ([]*wire.Suspect, uint64) {
	s := &f.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearch(s.revisions, after+1)
	return slices.Clone(s.all[first:]), s.revision
}

// SuspectsChanged returns a channel that is closed at the next change of a
// suspect.
func (f *Fleet) SuspectsChanged() <-chan struct{} {
	f.suspects.mu.Lock()
	defer f.suspects.mu.Unlock()
	return f.suspects.notify
}
