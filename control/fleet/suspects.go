package fleet

import (
	"slices"
	"sync"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxSuspects bounds the fingerprints that are passed on; a poison request is
// noted again when it comes again.
const maxSuspects = 256

// suspects are fingerprints of requests that were in flight when instances
// were lost, as entry hosts reported them.
type suspects struct {
	mu       sync.Mutex
	all      []*wire.Suspect // in order of their last change
	changed  []uint64        // revision of the last change of each
	revision uint64
	told     chan struct{} // closed with the next change
}

func newSuspects() suspects { return suspects{told: make(chan struct{})} }

// add merges what a host reported.
func (s *suspects) add(reported []*wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	for _, one := range reported {
		s.merge(one)
	}
	if s.revision != before {
		close(s.told)
		s.told = make(chan struct{})
	}
}

func (s *suspects) merge(one *wire.Suspect) {
	at := slices.IndexFunc(s.all, func(known *wire.Suspect) bool { return known.GetFingerprint() == one.GetFingerprint() })
	merged := &wire.Suspect{Fingerprint: one.GetFingerprint(), Instances: slices.Clone(one.GetInstances()), RefusedUntil: one.GetRefusedUntil()}
	if at >= 0 {
		known := s.all[at]
		for _, id := range known.GetInstances() {
			if !slices.Contains(merged.Instances, id) {
				merged.Instances = append(merged.Instances, id)
			}
		}
		merged.RefusedUntil = max(merged.RefusedUntil, known.GetRefusedUntil())
		if len(merged.Instances) == len(known.GetInstances()) && merged.RefusedUntil == known.GetRefusedUntil() {
			return
		}
		s.all, s.changed = slices.Delete(s.all, at, at+1), slices.Delete(s.changed, at, at+1)
	}
	s.revision++
	s.all, s.changed = append(s.all, merged), append(s.changed, s.revision)
	if len(s.all) > maxSuspects {
		s.all, s.changed = s.all[1:], s.changed[1:]
	}
}

// Suspects returns the fingerprints that changed after a revision of this
// control host, and the newest revision.
func (f *Fleet) Suspects(after uint64) ([]*wire.Suspect, uint64) {
	s := &f.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearch(s.changed, after+1)
	return slices.Clone(s.all[first:]), s.revision
}

// SuspectsChanged returns a channel that is closed when a suspect changes.
func (f *Fleet) SuspectsChanged() <-chan struct{} {
	f.suspects.mu.Lock()
	defer f.suspects.mu.Unlock()
	return f.suspects.told
}
