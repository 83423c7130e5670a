package disk

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// replay is the state that results from replaying the records of the log.
type replay struct {
	vote    *wire.SavedVote
	entries []*wire.LogEntry
}

// load reads the whole folder; with repair it truncates a torn tail.
func (s *Store) load(repair bool) (quorum.PersistentState, error) {
	if err := s.loadIdentity(); err != nil {
		return quorum.PersistentState{}, err
	}
	if repair {
		if err := s.removeTemporary(); err != nil {
			return quorum.PersistentState{}, err
		}
		// An earlier process may have been killed between a rename and this sync.
		if err := s.folder.Sync(); err != nil {
			return quorum.PersistentState{}, errors.Wrap(err, "sync data folder")
		}
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		return quorum.PersistentState{}, err
	}
	r := &replay{}
	if err := s.loadSegments(r, repair); err != nil {
		return quorum.PersistentState{}, err
	}
	entries, err := r.entriesAfter(snapshot)
	if err != nil {
		return quorum.PersistentState{}, err
	}
	if repair && len(entries) == 0 && len(r.entries) > 0 {
		// The end of the log may be before the snapshot or differ from it, if the record
		// that resets the log was not written. The next entry would not follow it.
		if err := s.reset(snapshot); err != nil {
			return quorum.PersistentState{}, err
		}
	}
	return quorum.PersistentState{Vote: r.vote, Snapshot: snapshot, Entries: entries}, nil
}

func (s *Store) loadIdentity() error {
	names, err := s.folder.Names()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	found := false
	for _, name := range names {
		found = found || name == identityName
	}
	if !found {
		return ErrEmpty
	}
	data, err := s.readFile(identityName)
	if err != nil {
		return err
	}
	r, ok := parseRecord(data)
	if !ok {
		return &CorruptionError{file: identityName, reason: "the checksum does not match"}
	}
	identity := &wire.ReplicaIdentity{}
	if err := proto.Unmarshal(r.payload, identity); err != nil {
		return &CorruptionError{file: identityName, reason: err.Error()}
	}
	s.identity.Store(identity)
	return nil
}

func (s *Store) loadSegments(r *replay, repair bool) error {
	names, err := s.folder.Names()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if first, ok := parseNumbered(name, segmentPrefix); ok {
			s.segments = append(s.segments, segment{name: name, first: first})
		}
	}
	if len(s.segments) == 0 {
		return &MissingError{reason: "the data folder has an identity but no log"}
	}
	s.sequence = s.segments[0].first - 1
	for n := range s.segments {
		if err := s.loadSegment(r, n, repair); err != nil {
			return err
		}
	}
	// Set before openLast, which may rotate: a new segment starts with the vote.
	s.vote = r.vote
	return s.openLast(repair)
}

func (s *Store) loadSegment(r *replay, n int, repair bool) error {
	seg := &s.segments[n]
	if seg.first != s.sequence+1 {
		return &CorruptionError{file: seg.name, reason: errors.Errorf("record %d should come first: a segment is missing", s.sequence+1).Error()}
	}
	last := n == len(s.segments)-1
	if last && repair {
		if err := s.syncFile(seg.name); err != nil {
			return err
		}
	}
	data, err := s.readFile(seg.name)
	if err != nil {
		return err
	}
	offset := 0
	for offset < len(data) {
		rec, ok := parseRecord(data[offset:])
		if !ok || rec.sequence != s.sequence+1 {
			break
		}
		if err := r.apply(rec); err != nil {
			return &CorruptionError{file: seg.name, offset: offset, reason: err.Error()}
		}
		s.sequence = rec.sequence
		offset += rec.encodedSize()
	}
	seg.lastIndex = r.lastIndex(s.segments[:n])
	s.size = int64(offset)
	if offset == len(data) && (offset > 0 || last) {
		return nil
	}
	if at, found := findLaterRecord(data, offset, s.sequence); found {
		return &CorruptionError{file: seg.name, offset: offset, reason: errors.Errorf("a whole record follows at offset %d", at).Error()}
	}
	if !last {
		return &CorruptionError{file: seg.name, offset: offset, reason: "segments follow"}
	}
	return s.truncateTail(seg.name, int64(offset), repair)
}

// syncFile makes durable what an earlier process wrote to a file and did not sync before it was
// killed: this process is about to rely on it.
func (s *Store) syncFile(name string) error {
	file, err := s.folder.Open(name)
	if err != nil {
		return errors.Wrap(err, "open "+name)
	}
	err = file.Sync()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "sync "+name)
}

func (s *Store) truncateTail(name string, size int64, repair bool) error {
	if !repair {
		return nil
	}
	file, err := s.folder.Open(name)
	if err != nil {
		return errors.Wrap(err, "open "+name)
	}
	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "truncate torn tail of "+name)
}

// openLast opens the last segment for appending. A segment that a crash left
// empty is created again.
func (s *Store) openLast(repair bool) error {
	if !repair {
		return nil
	}
	last := s.segments[len(s.segments)-1]
	if s.size == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		if err := s.folder.Remove(last.name); err != nil {
			return errors.Wrap(err, "remove empty segment")
		}
		return s.rotate()
	}
	file, err := s.folder.Open(last.name)
	s.file = file
	return errors.Wrap(err, "open "+last.name)
}

func (r *replay) apply(rec record) error {
	switch rec.kind {
	case kindVote:
		r.vote = &wire.SavedVote{}
		return proto.Unmarshal(rec.payload, r.vote)
	case kindReset:
		r.entries = nil
		return nil
	case kindEntry:
		e := &wire.LogEntry{}
		if err := proto.Unmarshal(rec.payload, e); err != nil {
			return err
		}
		return r.applyEntry(e)
	}
	return errors.Errorf("record %d has unknown kind %d", rec.sequence, rec.kind)
}

func (r *replay) applyEntry(e *wire.LogEntry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].GetIndex()
	next := first + uint64(len(r.entries))
	if e.GetIndex() > next || e.GetIndex() == 0 {
		return errors.Errorf("entry %d follows entry %d", e.GetIndex(), next-1)
	}
	if e.GetIndex() < first {
		r.entries = nil
		first = e.GetIndex()
	}
	r.entries = append(r.entries[:e.GetIndex()-first], e)
	return nil
}

func (r *replay) lastIndex(earlier []segment) uint64 {
	var last uint64
	if len(earlier) > 0 {
		last = earlier[len(earlier)-1].lastIndex
	}
	if n := len(r.entries); n > 0 {
		last = max(last, r.entries[n-1].GetIndex())
	}
	return last
}

// entriesAfter returns the entries after the index of a snapshot.
func (r *replay) entriesAfter(snapshot *wire.LogSnapshot) ([]*wire.LogEntry, error) {
	if len(r.entries) == 0 {
		return nil, nil
	}
	index, first := snapshot.GetIndex(), r.entries[0].GetIndex()
	if first > index+1 {
		return nil, &MissingError{reason: fmt.Sprintf("the log starts at entry %d, the snapshot ends at %d", first, index)}
	}
	if index-first+1 > uint64(len(r.entries)) {
		return nil, nil
	}
	rest := r.entries[index+1-first:]
	if index >= first && r.entries[index-first].GetTerm() != snapshot.GetTerm() {
		// The snapshot was received from a leader whose log replaces this one.
		return nil, nil
	}
	return rest, nil
}
