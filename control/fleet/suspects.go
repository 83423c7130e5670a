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
	records   Records
	mu        sync.Mutex
	checked   uint64 // revision of the records up to which pending attempts have been confirmed
	book      *evidence.Book
	pending   *evidence.Pending // attempts without a response, whose hosts may not live on to tell the end
	revisions map[uint64]uint64 // revision of each record's last change
	revision  uint64
	notify    chan struct{} // closed at the next loss
}

func newSuspects() suspects {
	// Hosts that polled an earlier process have lower revisions.
	return suspects{
		records: noRecords{}, book: evidence.NewBook(), pending: evidence.NewPending(),
		revisions: map[uint64]uint64{}, revision: uint64(time.Now().UnixNano()), notify: make(chan struct{}),
	}
}

// add merges the suspects that a host reported. Excuses wait for the next poll of each host.
func (s *suspects) add(reported []*wire.Suspect, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := false
	for _, suspect := range reported {
		lost = s.changed(suspect.GetFingerprint(), s.book.Merge(suspect, now)) || lost
		for _, attempt := range evidence.Attempts(suspect, now) {
			if s.pending.Add(attempt, now) {
				lost = s.lose(attempt) || lost
			} else if s.records.Ended(attempt.Instance()) {
				lost = s.end(attempt.Instance(), now) || lost
			}
		}
	}
	if len(s.revisions) > s.book.Len() {
		maps.DeleteFunc(s.revisions, func(fp, _ uint64) bool { return s.book.Record(fp) == nil })
	}
	if lost {
		s.wake()
	}
}

func (s *suspects) wake() {
	close(s.notify)
	s.notify = make(chan struct{})
}

// changed gives a record that changed a new revision, and reports whether a loss is new.
func (s *suspects) changed(fingerprint uint64, change evidence.Change) bool {
	if change != evidence.Unchanged {
		s.revision++
		s.revisions[fingerprint] = s.revision
	}
	return change == evidence.Added
}

func (s *suspects) lose(a *evidence.Attempt) bool {
	return s.changed(a.Fingerprint(), s.book.AddLoss(a.Fingerprint(), a.Instance(), a.At()))
}

// confirm adds the losses of pending attempts whose instances have ended since the records
// changed last, and reports whether one is new.
func (s *suspects) confirm(now time.Time) bool {
	revision, lost := s.records.InstancesRevision(), false
	if revision == s.checked {
		return false
	}
	s.checked = revision
	for _, incarnation := range s.pending.Instances() {
		if s.records.Ended(incarnation) {
			lost = s.end(incarnation, now) || lost
		}
	}
	return lost
}

func (s *suspects) end(incarnation string, now time.Time) bool {
	lost := false
	for _, attempt := range s.pending.End(incarnation, now) {
		lost = s.lose(attempt) || lost
	}
	return lost
}

// Records are the instance records, which tell when an incarnation has ended.
type Records interface {
	Ended(incarnation string) bool
	InstancesRevision() uint64 // of the newest record
}

type noRecords struct{}

func (noRecords) Ended(string) bool         { return false }
func (noRecords) InstancesRevision() uint64 { return 0 }

// WithRecords sets the instance records, by which losses are confirmed.
func WithRecords(records Records) Option {
	return func(f *Fleet) { f.suspects.records = records }
}

// Suspects returns the suspects that changed after the given revision, and the
// latest revision. Revisions are local to this control host.
func (f *Fleet) Suspects(after uint64, now time.Time) ([]*wire.Suspect, uint64) {
	s := &f.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirm(now) {
		s.wake()
	}
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
