package disk_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/disk/memory"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Guards against a gap between segments after a loss of power, which loses any of the removals
// that were not synced.
func TestCompactionLeavesNoGapAfterALossOfPower(t *testing.T) {
	for cut := range 20 {
		folder := memory.New()
		s := newStore(t, folder)
		fill(t, s)
		must.NoError(t, s.SaveSnapshot(&wire.LogSnapshot{Index: 50, Term: 1}))
		oldest := segments(t, folder)[0]
		folder.StopAfter(cut)
		_ = s.Compact(50)
		folder.LosePower(func(int) int { return 0 }, func(name string) bool { return name != oldest })
		_, saved := reopen(t, folder)
		must.Eq(t, 10, len(saved.Entries))
	}
}

// Guards against a process that acts on what an earlier one, which was killed before its sync, left
// in the folder, and that a loss of power takes away afterwards.
func TestWhatAProcessFoundOutlivesALossOfPower(t *testing.T) {
	const maxChanges = 20
	operations := map[string]func(s *disk.Store) error{
		"write":            func(s *disk.Store) error { return s.Write(&wire.SavedVote{Term: 2}, entries(2, 6, 7)) },
		"snapshot":         func(s *disk.Store) error { return s.SaveSnapshot(&wire.LogSnapshot{Index: 5, Term: 1}) },
		"install snapshot": func(s *disk.Store) error { return s.InstallSnapshot(&wire.LogSnapshot{Index: 9, Term: 2}) },
		"join group":       func(s *disk.Store) error { return s.JoinGroup("g") },
	}
	for name, run := range operations {
		for cut := range maxChanges {
			folder := memory.New()
			s := newStore(t, folder)
			must.NoError(t, s.Write(&wire.SavedVote{Term: 1}, entries(1, 1, 2, 3, 4, 5)))
			folder.StopAfter(cut)
			_ = run(s)
			folder.Kill()
			s, found := reopen(t, folder)
			group := s.Identity().GetGroup()
			folder.LosePower(func(int) int { return 0 }, func(string) bool { return false })
			s, kept := reopen(t, folder)
			must.Eq(t, modelOf(found).String(), modelOf(kept).String(), must.Sprintf("%s, cut before change %d", name, cut))
			must.Eq(t, group, s.Identity().GetGroup(), must.Sprintf("%s, cut before change %d", name, cut))
		}
	}
}
