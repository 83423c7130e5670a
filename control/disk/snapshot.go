package disk

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// EncodeSnapshot returns the content of a snapshot file.
func EncodeSnapshot(snapshot *wire.LogSnapshot) ([]byte, error) {
	buf := make([]byte, headerBytes, headerBytes+proto.Size(snapshot))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return putHeader(buf, snapshot.GetIndex(), 0), nil
}

// DecodeSnapshot decodes the content of a snapshot file.
func DecodeSnapshot(data []byte) (*wire.LogSnapshot, error) {
	r, ok := parseRecord(data)
	if !ok {
		return nil, errors.New("the checksum does not match")
	}
	snapshot := &wire.LogSnapshot{}
	if err := proto.Unmarshal(r.payload, snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if snapshot.GetIndex() != r.sequence {
		return nil, errors.Errorf("the snapshot has index %d, its record has %d", snapshot.GetIndex(), r.sequence)
	}
	return snapshot, nil
}

// SaveSnapshot makes a snapshot durable and removes older ones. It may run
// concurrently with Write.
func (s *Store) SaveSnapshot(snapshot *wire.LogSnapshot) error {
	if err := s.Err(); err != nil {
		return errors.Wrap(ErrFailed, err.Error())
	}
	data, err := EncodeSnapshot(snapshot)
	if err == nil {
		err = s.replaceFile(snapshotName(snapshot.GetIndex()), data)
	}
	if err == nil {
		err = s.removeSnapshots(snapshot.GetIndex())
	}
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fail(err, "save snapshot")
}

func (s *Store) removeSnapshots(before uint64) error {
	indexes, err := s.snapshotIndexes()
	if err != nil {
		return err
	}
	for _, index := range indexes {
		if index >= before {
			continue
		}
		if err := s.folder.Remove(snapshotName(index)); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}
	return nil
}

func (s *Store) snapshotIndexes() ([]uint64, error) {
	names, err := s.folder.Names()
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var indexes []uint64
	for _, name := range names {
		if index, ok := parseNumbered(name, snapshotPrefix); ok {
			indexes = append(indexes, index)
		}
	}
	return indexes, nil
}

// Snapshot reads the newest snapshot. It returns nil if there is none.
func (s *Store) Snapshot() (*wire.LogSnapshot, error) {
	indexes, err := s.snapshotIndexes()
	if err != nil || len(indexes) == 0 {
		return nil, err
	}
	name := snapshotName(indexes[len(indexes)-1])
	data, err := s.readFile(name)
	if err != nil {
		return nil, err
	}
	snapshot, err := DecodeSnapshot(data)
	if err != nil {
		return nil, &CorruptionError{file: name, reason: err.Error()}
	}
	return snapshot, nil
}

// removeTemporary removes the temporary files of interrupted writes.
func (s *Store) removeTemporary() error {
	names, err := s.folder.Names()
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := s.folder.Remove(name); err != nil {
			return errors.Wrap(err, "remove "+name)
		}
	}
	return nil
}
