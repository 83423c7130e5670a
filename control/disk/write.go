package disk

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Write makes a vote and entries durable with one sync. Both may be missing.
// The entries replace all entries from the first one's index on.
func (s *Store) Write(vote *wire.SavedVote, entries []*wire.LogEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return errors.Wrap(ErrFailed, s.failed.Error())
	}
	var records []record
	if vote != nil {
		s.vote = vote
		records = append(records, s.voteRecord())
	}
	for _, e := range entries {
		payload, err := proto.Marshal(e)
		if err != nil {
			return s.fail(err, "encode entry")
		}
		records = append(records, record{kind: kindEntry, payload: payload})
	}
	if len(records) == 0 {
		return nil
	}
	if err := s.append(records...); err != nil {
		return err
	}
	if len(entries) > 0 {
		last := &s.segments[len(s.segments)-1]
		last.lastIndex = max(last.lastIndex, entries[len(entries)-1].GetIndex())
	}
	if s.size < s.maxBytes {
		return nil
	}
	return s.rotate()
}

// InstallSnapshot replaces log and state by a snapshot of the leader.
func (s *Store) InstallSnapshot(snapshot *wire.LogSnapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return errors.Wrap(ErrFailed, s.failed.Error())
	}
	mark := &wire.LogSnapshot{Index: snapshot.GetIndex(), Term: snapshot.GetTerm()}
	payload, err := proto.Marshal(mark)
	if err != nil {
		return s.fail(err, "encode reset")
	}
	return s.append(record{kind: kindReset, payload: payload})
}

// Compact removes segments whose entries a durable snapshot covers.
func (s *Store) Compact(snapshotIndex uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return errors.Wrap(ErrFailed, s.failed.Error())
	}
	removed := 0
	for len(s.segments) > 1 && s.segments[0].lastIndex <= snapshotIndex {
		if err := s.folder.Remove(s.segments[0].name); err != nil {
			return s.fail(err, "remove segment")
		}
		s.segments = s.segments[1:]
		removed++
	}
	if removed == 0 {
		return nil
	}
	return s.syncFolder()
}

// saveIdentity makes the identity durable.
func (s *Store) saveIdentity(identity *wire.ReplicaIdentity) error {
	payload, err := proto.Marshal(identity)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	if err := s.replaceFile(identityName, appendRecord(nil, record{kind: kindVote, payload: payload})); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fail(err, "save identity")
	}
	s.identity.Store(identity)
	return nil
}

// JoinGroup records the group that the replica belongs to. It never changes
// again.
func (s *Store) JoinGroup(group string) error {
	own := s.Identity()
	if own.GetGroup() != "" {
		return errors.Errorf("the replica belongs to group %s already", own.GetGroup())
	}
	return s.saveIdentity(&wire.ReplicaIdentity{Identity: own.GetIdentity(), Name: own.GetName(), Group: group})
}
