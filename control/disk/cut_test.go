package disk_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/disk/memory"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

// model is what a store should hold: the entries after a snapshot, by their terms.
type model struct {
	vote       uint64
	base, term uint64 // of the snapshot
	terms      []uint64
}

func (m model) last() uint64 { return m.base + uint64(len(m.terms)) }

func (m model) String() string {
	return fmt.Sprintf("vote %d snapshot %d/%d entries %v", m.vote, m.base, m.term, m.terms)
}

func modelOf(saved quorum.PersistentState) model {
	m := model{vote: saved.Vote.GetTerm(), base: saved.Snapshot.GetIndex(), term: saved.Snapshot.GetTerm()}
	for n, e := range saved.Entries {
		if e.GetIndex() != m.base+uint64(n)+1 {
			m.terms = append(m.terms, 1<<32+e.GetIndex()) // not consecutive: equals no model
			continue
		}
		m.terms = append(m.terms, e.GetTerm())
	}
	return m
}

// step is one call of a store.
type step struct {
	kind  string
	vote  bool
	back  uint64 // entries that are replaced
	count uint64
}

func drawStep(t *rapid.T) step {
	return step{
		kind: rapid.SampledFrom([]string{"write", "write", "write", "write", "snapshot", "install"}).Draw(t, "kind"),
		vote: rapid.Bool().Draw(t, "vote"), back: rapid.Uint64Range(0, 2).Draw(t, "back"), count: rapid.Uint64Range(0, 3).Draw(t, "count"),
	}
}

// run makes the call. It returns the models that may hold if it was cut off, the one after the
// call last.
func (s step) run(store *disk.Store, m model, term uint64) ([]model, error) {
	back := min(s.back, uint64(len(m.terms)))
	switch s.kind {
	case "snapshot":
		if len(m.terms) == 0 {
			return []model{m}, nil
		}
		at := m.last() - back
		if at == m.base {
			return []model{m}, nil
		}
		next := model{vote: m.vote, base: at, term: m.terms[at-m.base-1], terms: m.terms[at-m.base:]}
		err := store.SaveSnapshot(&wire.LogSnapshot{Index: at, Term: next.term, State: []byte("own")})
		if err == nil {
			err = store.Compact(at)
		}
		return []model{next}, err
	case "install":
		// The leader's snapshot ends after the log, or within one that it replaces.
		next := model{vote: m.vote, base: max(m.last()+1+s.count-back, m.base+1), term: term}
		return []model{next}, store.InstallSnapshot(&wire.LogSnapshot{Index: next.base, Term: next.term, State: []byte("leader's")})
	}
	var vote *wire.SavedVote
	var models []model
	if s.vote {
		m.vote, vote = term, &wire.SavedVote{Term: term}
		models = append(models, m)
	}
	if s.count == 0 {
		back = 0
	}
	var added []*wire.LogEntry
	kept := m.terms[:uint64(len(m.terms))-back]
	for n := range s.count {
		index := m.base + uint64(len(kept)) + n + 1
		added = append(added, entries(term, index)...)
		next := m
		next.terms = append(append([]uint64{}, kept...), make([]uint64, n+1)...)
		for k := range n + 1 {
			next.terms[uint64(len(kept))+k] = term
		}
		models = append(models, next)
	}
	if len(models) == 0 {
		models = append(models, m)
	}
	return models, store.Write(vote, added)
}

// reopenCut opens the folder after the process has ended in the given way, and may be cut off
// itself. It returns what the folder holds.
func reopenCut(t must.T, folder *memory.Folder, end func(), random *rand.Rand) (*disk.Store, model, error) {
	t.Helper()
	for {
		end()
		if random.IntN(2) == 0 {
			folder.StopAfter(random.IntN(6))
		}
		s, saved, err := disk.Open(folder, disk.WithSegmentBytes(cutSegment))
		if err != nil && folder.Stopped() {
			continue
		}
		if err != nil {
			return nil, model{}, err
		}
		return s, modelOf(saved), nil
	}
}

const cutSegment = 150

// Guards against a folder that does not open, or has lost or mixed up what was written or what an
// earlier process found, after kills and losses of power in any order, each between any two changes
// of its files.
func TestStoreSurvivesACutBetweenAnyTwoChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 12).Draw(t, "steps")
		seed := rapid.Uint64().Draw(t, "luck")
		for cut := 0; ; cut++ {
			if !runCut(t, steps, cut, rand.New(rand.NewPCG(seed, uint64(cut)))) {
				return
			}
		}
	})
}

// runCut runs the steps and ends the process before the change with the given number. It reports
// whether there was one.
func runCut(t *rapid.T, steps []step, cut int, random *rand.Rand) bool {
	folder := memory.New()
	end := func() {
		if random.IntN(2) == 0 {
			folder.Kill()
			return
		}
		folder.LosePower(func(unsynced int) int { return random.IntN(unsynced + 1) }, func(string) bool { return random.IntN(2) == 0 })
	}
	folder.StopAfter(cut)
	held := model{}
	s, err := disk.Create(folder, &wire.ReplicaIdentity{Identity: "one"}, disk.WithSegmentBytes(cutSegment))
	if err != nil {
		end()
		_, _, err = disk.Open(folder)
		must.True(t, err == nil || errors.Is(err, disk.ErrEmpty), must.Sprint(err))
		return true
	}
	reached := false
	for n, step := range steps {
		term := uint64(n + 1)
		models, err := step.run(s, held, term)
		if err == nil {
			held = models[len(models)-1]
			continue
		}
		must.True(t, folder.Stopped(), must.Sprint(err))
		reached = true
		var found model
		s, found, err = reopenCut(t, folder, end, random)
		must.NoError(t, err, must.Sprintf("step %d of %v, cut %d", n, steps, cut))
		allowed := append([]model{held}, models...)
		must.SliceContainsFunc(t, allowed, found, func(a, b model) bool { return a.String() == b.String() }, must.Sprintf("step %d of %v, cut %d", n, steps, cut))
		held = found
	}
	end()
	folder.StopAfter(-1)
	_, found, err := reopenCut(t, folder, func() {}, rand.New(rand.NewPCG(1, 1)))
	must.NoError(t, err, must.Sprintf("after %v, cut %d", steps, cut))
	must.Eq(t, held.String(), found.String(), must.Sprintf("after %v, cut %d", steps, cut))
	return reached
}
