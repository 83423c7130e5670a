package disk_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/disk/memory"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

const smallSegment = 512

func newStore(t must.T, folder disk.Folder) *disk.Store {
	t.Helper()
	s, err := disk.Create(folder, &wire.ReplicaIdentity{Identity: "one"}, disk.WithSegmentBytes(smallSegment))
	must.NoError(t, err)
	return s
}

func entries(term uint64, indexes ...uint64) []*wire.LogEntry {
	var all []*wire.LogEntry
	for _, index := range indexes {
		all = append(all, &wire.LogEntry{Index: index, Term: term, Data: []byte(fmt.Sprintf("command %d of term %d", index, term))})
	}
	return all
}

func terms(saved quorum.PersistentState) string {
	var parts []string
	for _, e := range saved.Entries {
		parts = append(parts, fmt.Sprintf("%d/%d", e.GetIndex(), e.GetTerm()))
	}
	return strings.Join(parts, " ")
}

func reopen(t must.T, folder disk.Folder) (*disk.Store, quorum.PersistentState) {
	t.Helper()
	s, saved, err := disk.Open(folder, disk.WithSegmentBytes(smallSegment))
	must.NoError(t, err)
	return s, saved
}

func TestStoreKeepsVoteAndEntries(t *testing.T) {
	folder := memory.New()
	s := newStore(t, folder)
	must.NoError(t, s.Write(&wire.SavedVote{Term: 2, Vote: "two"}, entries(2, 1, 2, 3, 4)))
	must.NoError(t, s.Write(nil, entries(3, 3)))
	must.NoError(t, s.Close())
	_, saved := reopen(t, folder)
	must.Eq(t, "1/2 2/2 3/3", terms(saved))
	must.Eq(t, "two", saved.Vote.GetVote())
}

func TestFolderIsLocked(t *testing.T) {
	folder, err := disk.NewOSFolder(t.TempDir())
	must.NoError(t, err)
	s := newStore(t, folder)
	_, _, err = disk.Open(folder)
	must.ErrorContains(t, err, "used by another process")
	must.NoError(t, s.Close())
	again, _ := reopen(t, folder)
	must.NoError(t, again.Close())
}

func TestEmptyFolderHoldsNoReplica(t *testing.T) {
	_, _, err := disk.Open(memory.New())
	must.ErrorIs(t, err, disk.ErrEmpty)
}

// fill writes enough entries for several segments.
func fill(t must.T, s *disk.Store) {
	t.Helper()
	for n := range uint64(60) {
		must.NoError(t, s.Write(nil, entries(1, n+1)))
	}
}

func segments(t must.T, folder *memory.Folder) []string {
	t.Helper()
	names, err := folder.Names()
	must.NoError(t, err)
	var logs []string
	for _, name := range names {
		if strings.HasPrefix(name, "log-") {
			logs = append(logs, name)
		}
	}
	return logs
}

func TestSnapshotRemovesOldSegments(t *testing.T) {
	folder := memory.New()
	s := newStore(t, folder)
	fill(t, s)
	before := len(segments(t, folder))
	must.Greater(t, 3, before)
	must.NoError(t, s.SaveSnapshot(&wire.LogSnapshot{Index: 50, Term: 1, State: []byte("state")}))
	must.NoError(t, s.Compact(50))
	must.Less(t, before, len(segments(t, folder)))
	must.NoError(t, s.Close())
	_, saved := reopen(t, folder)
	must.Eq(t, "state", string(saved.Snapshot.GetState()))
	must.Eq(t, 10, len(saved.Entries))
	must.Eq(t, 51, saved.Entries[0].GetIndex())
}

func TestInstalledSnapshotDiscardsTheLog(t *testing.T) {
	folder := memory.New()
	s := newStore(t, folder)
	must.NoError(t, s.Write(nil, entries(1, 1, 2, 3, 4, 5, 6, 7, 8)))
	must.NoError(t, s.InstallSnapshot(&wire.LogSnapshot{Index: 5, Term: 2}))
	must.NoError(t, s.Write(nil, entries(2, 6)))
	must.NoError(t, s.Close())
	_, saved := reopen(t, folder)
	must.Eq(t, "6/2", terms(saved))
}

func TestTornTailIsTruncated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := memory.New()
		s := newStore(t, folder)
		synced := rapid.IntRange(1, 40).Draw(t, "synced")
		for n := range synced {
			must.NoError(t, s.Write(nil, entries(1, uint64(n+1))))
		}
		folder.FailSyncs(errors.New("power failure"))
		must.Error(t, s.Write(&wire.SavedVote{Term: 9, Vote: "nine"}, entries(9, uint64(synced+1))))
		folder.FailSyncs(nil)
		folder.Crash(func(unsynced int) int { return rapid.IntRange(0, unsynced).Draw(t, "kept") })
		again, saved := reopen(t, folder)
		must.Between(t, synced, len(saved.Entries), synced+1)
		next := uint64(len(saved.Entries) + 1)
		must.NoError(t, again.Write(nil, entries(10, next)))
		must.NoError(t, again.Close())
		_, saved = reopen(t, folder)
		must.Eq(t, int(next), len(saved.Entries))
	})
}

func TestDamageInTheMiddleIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := memory.New()
		s := newStore(t, folder)
		fill(t, s)
		must.NoError(t, s.Close())
		names := segments(t, folder)
		file := names[rapid.IntRange(0, len(names)-2).Draw(t, "segment")]
		folder.Corrupt(file, rapid.IntRange(0, folder.Size(file)-1).Draw(t, "offset"))
		_, _, err := disk.Open(folder)
		var corruption *disk.CorruptionError
		must.True(t, errors.As(err, &corruption), must.Sprintf("%v", err))
		must.Eq(t, file, corruption.File())
	})
}

func TestDamageBeforeTheLastRecordIsRefused(t *testing.T) {
	folder := memory.New()
	s := newStore(t, folder)
	must.NoError(t, s.Write(nil, entries(1, 1)))
	before := folder.Size(segments(t, folder)[0])
	must.NoError(t, s.Write(nil, entries(1, 2)))
	must.NoError(t, s.Write(nil, entries(1, 3)))
	must.NoError(t, s.Close())
	folder.Corrupt(segments(t, folder)[0], before+20)
	_, _, err := disk.Open(folder)
	var corruption *disk.CorruptionError
	must.True(t, errors.As(err, &corruption))
	must.Eq(t, before, corruption.Offset())
}

func TestMissingFilesAreRefused(t *testing.T) {
	folder := memory.New()
	s := newStore(t, folder)
	fill(t, s)
	must.NoError(t, s.Close())
	names := segments(t, folder)
	must.NoError(t, folder.Remove(names[1]))
	_, _, err := disk.Open(folder)
	must.ErrorContains(t, err, "a segment is missing")
	for _, name := range segments(t, folder) {
		must.NoError(t, folder.Remove(name))
	}
	_, _, err = disk.Open(folder)
	must.ErrorContains(t, err, "files are missing")
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	folder := memory.New()
	s := newStore(t, folder)
	must.NoError(t, s.SaveSnapshot(&wire.LogSnapshot{Index: 7, State: []byte("state")}))
	must.NoError(t, s.Close())
	folder.Corrupt("snapshot-0000000000000007", 25)
	_, _, err := disk.Open(folder)
	must.ErrorContains(t, err, "snapshot-0000000000000007")
}

func TestStoreRejectsWritesAfterAFailure(t *testing.T) {
	causes := map[string]func(*memory.Folder){
		"sync":  func(f *memory.Folder) { f.FailSyncs(errors.New("input/output error")) },
		"write": func(f *memory.Folder) { f.FailWrites(errors.New("input/output error")) },
		"full":  func(f *memory.Folder) { f.SetFreeSpace(10) },
	}
	for name, fail := range causes {
		t.Run(name, func(t *testing.T) {
			folder := memory.New()
			s := newStore(t, folder)
			must.NoError(t, s.Write(nil, entries(1, 1)))
			fail(folder)
			must.Error(t, s.Write(nil, entries(1, 2)))
			folder.FailSyncs(nil)
			folder.FailWrites(nil)
			folder.SetFreeSpace(-1)
			must.ErrorIs(t, s.Write(nil, entries(1, 2)), disk.ErrFailed)
			must.ErrorIs(t, s.SaveSnapshot(&wire.LogSnapshot{Index: 1}), disk.ErrFailed)
			must.Error(t, s.Err())
			must.NoError(t, s.Close())
			_, saved := reopen(t, folder)
			must.Eq(t, 1, saved.Entries[0].GetIndex())
		})
	}
}

// The disk is full at any byte, for some attempts to recover, and the power fails at any time
// afterwards: what was written successfully is there, and nothing that was not written.
func TestRecoveredStoreHoldsWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := memory.New()
		s, err := disk.Create(folder, &wire.ReplicaIdentity{Identity: "one"}, disk.WithSegmentBytes(300))
		must.NoError(t, err)
		var held []*wire.LogEntry
		vote := &wire.SavedVote{}
		snapshotIndex := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "writes") {
			if rapid.IntRange(0, 3).Draw(t, "fills") == 0 {
				folder.SetFreeSpace(rapid.IntRange(0, 400).Draw(t, "free"))
			}
			last := snapshotIndex + uint64(len(held))
			next := entries(1, last+1, last+2)[:rapid.IntRange(0, 2).Draw(t, "entries")]
			nextVote := &wire.SavedVote{Term: vote.GetTerm() + 1}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 && last > 0 {
				err = s.SaveSnapshot(&wire.LogSnapshot{Index: last, Term: 1})
				if err == nil {
					snapshotIndex, held = last, nil
					err = s.Compact(last)
				}
			} else if err = s.Write(nextVote, next); err == nil {
				held, vote = append(held, next...), nextVote
			}
			if err != nil {
				must.True(t, s.OutOfSpace())
				saved, err := s.Recover()
				must.True(t, err == nil || s.OutOfSpace())
				folder.SetFreeSpace(-1)
				if err != nil {
					saved, err = s.Recover()
				}
				must.NoError(t, err)
				// A write that failed may be whole.
				if len(saved.Entries) > len(held) {
					held = append(held, next...)
				}
				if saved.Vote.GetTerm() > vote.GetTerm() {
					vote = nextVote
				}
				if saved.Snapshot.GetIndex() > snapshotIndex {
					snapshotIndex, held = last, nil
				}
			}
		}
		folder.SetFreeSpace(-1)
		if rapid.Bool().Draw(t, "crash") {
			folder.Crash(func(unsynced int) int { return rapid.IntRange(0, unsynced).Draw(t, "kept") })
		} else {
			must.NoError(t, s.Close())
		}
		_, saved, err := disk.Open(folder)
		must.NoError(t, err)
		must.Eq(t, vote.GetTerm(), saved.Vote.GetTerm())
		must.Eq(t, snapshotIndex, saved.Snapshot.GetIndex())
		must.Eq(t, len(held), len(saved.Entries))
	})
}

func TestVoteSurvivesACrashBetweenSegments(t *testing.T) {
	folder := memory.New()
	s := newStore(t, folder)
	must.NoError(t, s.Write(&wire.SavedVote{Term: 4, Vote: "two"}, entries(4, 1, 2, 3)))
	must.NoError(t, s.Close())
	// A crash after the creation of the next segment leaves it empty. The vote
	// must then still be read from the earlier segment.
	folder.Put("log-0000000000000006", nil)
	again, saved := reopen(t, folder)
	must.Eq(t, "two", saved.Vote.GetVote())
	must.NoError(t, again.Close())
	_, saved = reopen(t, folder)
	must.Eq(t, "two", saved.Vote.GetVote())
	must.Eq(t, "1/4 2/4 3/4", terms(saved))
}

// A crash during the creation of a replica must leave either an empty folder,
// in which a replica can be created, or a complete replica.
func TestCreationSurvivesACrash(t *testing.T) {
	for kept := range 200 {
		folder := memory.New()
		folder.SetFreeSpace(kept)
		s, err := disk.Create(folder, &wire.ReplicaIdentity{Identity: "one"})
		if err == nil {
			must.NoError(t, s.Close())
		}
		folder.SetFreeSpace(-1)
		folder.Crash(func(int) int { return 0 })
		_, _, openErr := disk.Open(folder)
		if err == nil {
			must.NoError(t, openErr)
			continue
		}
		must.ErrorIs(t, openErr, disk.ErrEmpty)
		_, err = disk.Create(folder, &wire.ReplicaIdentity{Identity: "two"})
		must.NoError(t, err)
	}
}

func FuzzLog(f *testing.F) {
	folder := memory.New()
	s := newStore(f, folder)
	must.NoError(f, s.Write(&wire.SavedVote{Term: 1, Vote: "one"}, entries(1, 1, 2)))
	content, err := folder.Content(segments(f, folder)[0])
	must.NoError(f, err)
	f.Add(content)
	f.Add(content[:len(content)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := memory.New()
		must.NoError(t, newStore(t, folder).Close())
		folder.Put(segments(t, folder)[0], data)
		s, saved, err := disk.Open(folder)
		if err != nil {
			return
		}
		must.NoError(t, s.Close())
		_, again := reopen(t, folder)
		must.Eq(t, terms(saved), terms(again))
		must.Eq(t, saved.Vote.GetTerm(), again.Vote.GetTerm())
		must.Eq(t, saved.Vote.GetVote(), again.Vote.GetVote())
	})
}

func FuzzSnapshot(f *testing.F) {
	data, err := disk.EncodeSnapshot(&wire.LogSnapshot{Index: 3, Term: 2, State: []byte("state")})
	must.NoError(f, err)
	f.Add(data)
	f.Add(data[:10])
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := disk.DecodeSnapshot(data)
		if err != nil {
			return
		}
		again, err := disk.EncodeSnapshot(snapshot)
		must.NoError(t, err)
		decoded, err := disk.DecodeSnapshot(again)
		must.NoError(t, err)
		must.True(t, proto.Equal(snapshot, decoded))
	})
}
