package disk

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Names of the files of a data folder.
const (
	lockName        = "lock"
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// segment is one file of the log.
type segment struct {
	name      string
	first     uint64 // sequence number of its first record
	lastIndex uint64 // largest index of an entry in this or an earlier segment
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func parseNumbered(name, prefix string) (uint64, bool) {
	if !strings.HasPrefix(name, prefix) {
		return 0, false
	}
	var n uint64
	if _, err := fmt.Sscanf(strings.TrimPrefix(name, prefix), "%016x", &n); err != nil {
		return 0, false
	}
	return n, name == fmt.Sprintf("%s%016x", prefix, n)
}

// rotate starts a new segment with the vote, so that older segments can be
// removed.
func (s *Store) rotate() error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return s.fail(err, "close segment")
		}
		s.file = nil
	}
	next := segment{name: segmentName(s.sequence + 1), first: s.sequence + 1}
	if len(s.segments) > 0 {
		next.lastIndex = s.segments[len(s.segments)-1].lastIndex
	}
	file, err := s.folder.Create(next.name)
	if err != nil {
		return s.fail(err, "create segment")
	}
	s.file, s.size = file, 0
	s.segments = append(s.segments, next)
	if err := s.append(s.voteRecord()); err != nil {
		return err
	}
	return s.syncFolder()
}

func (s *Store) voteRecord() record {
	payload, err := proto.Marshal(s.vote)
	if err != nil {
		panic("disk: encode vote: " + err.Error())
	}
	return record{kind: kindVote, payload: payload}
}

// append appends records with one write and one sync.
func (s *Store) append(records ...record) error {
	var buf []byte
	for _, r := range records {
		s.sequence++
		r.sequence = s.sequence
		buf = appendRecord(buf, r)
	}
	if _, err := s.file.Write(buf); err != nil {
		return s.fail(err, "write log")
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err, "sync log")
	}
	s.size += int64(len(buf))
	return nil
}

func (s *Store) syncFolder() error {
	if err := s.folder.Sync(); err != nil {
		return s.fail(err, "sync data folder")
	}
	return nil
}

func (s *Store) readFile(name string) ([]byte, error) {
	file, err := s.folder.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open "+name)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(file)
	return data, errors.Wrap(err, "read "+name)
}

// replaceFile writes a file atomically: a crash leaves either the old or the
// new content.
func (s *Store) replaceFile(name string, data []byte) error {
	file, err := s.folder.Create(name + temporarySuffix)
	if err != nil {
		return errors.Wrap(err, "create "+name)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.folder.Rename(name+temporarySuffix, name)
	}
	if err == nil {
		err = s.folder.Sync()
	}
	return errors.Wrap(err, "write "+name)
}
