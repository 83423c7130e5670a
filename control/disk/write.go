package disk

import (
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

// Write makes a vote and entries durable with one sync. Both are optional. The
// entries replace all entries from the first one's index onwards.
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

// InstallSnapshot replaces the log and the state by the leader's snapshot. If it ends
// between its two writes, the next load completes it.
func (s *Store) InstallSnapshot(snapshot *wire.LogSnapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return errors.Wrap(ErrFailed, s.failed.Error())
	}
	return s.reset(snapshot)
}

// reset discards the entries of the log, which a durable snapshot replaces.
func (s *Store) reset(snapshot *wire.LogSnapshot) error {
	marker := &wire.LogSnapshot{Index: snapshot.GetIndex(), Term: snapshot.GetTerm()}
	payload, err := proto.Marshal(marker)
	if err != nil {
		return s.fail(err, "encode reset")
	}
	return s.append(record{kind: kindReset, payload: payload})
}

// Compact removes the segments whose entries a durable snapshot covers, oldest first. Each
// removal is durable before the next: a loss of power must not leave a gap between segments.
func (s *Store) Compact(snapshotIndex uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return errors.Wrap(ErrFailed, s.failed.Error())
	}
	for len(s.segments) > 1 && s.segments[0].lastIndex <= snapshotIndex {
		if err := s.folder.Remove(s.segments[0].name); err != nil {
			return s.fail(err, "remove segment")
		}
		if err := s.syncFolder(); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
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

// JoinGroup stores the group that the replica belongs to. It can be set only
// once.
func (s *Store) JoinGroup(group string) error {
	identity := s.Identity()
	if identity.GetGroup() != "" {
		return errors.Errorf("the replica already belongs to group %s", identity.GetGroup())
	}
	return s.saveIdentity(&wire.ReplicaIdentity{Identity: identity.GetIdentity(), Name: identity.GetName(), Group: group})
}
