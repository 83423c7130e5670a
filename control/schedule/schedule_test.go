package schedule_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/schedule"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

// rapidSource draws the choices from rapid, which shrinks a failing schedule.
type rapidSource struct{ t *rapid.T }

func (s rapidSource) Int(n int) int { return rapid.IntRange(0, n-1).Draw(s.t, "choice") }

func TestDrawnSchedulesMaintainInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts")
		report := schedule.Run(rapidSource{t}, schedule.WithHosts(hosts), schedule.WithSteps(250))
		must.Eq(t, "", describe(report))
	})
}

func TestManySchedulesMaintainInvariants(t *testing.T) {
	total := &totals{}
	for seed := range uint64(400) {
		report := schedule.Run(schedule.NewRandom(seed), schedule.WithHosts(3+2*int(seed%2)), schedule.WithSteps(600))
		must.Eq(t, "", describe(report), must.Sprintf("seed %d", seed))
		total.add(report)
	}
	// Runs in which nothing happens would violate no invariant either.
	t.Logf("%+v", *total)
	must.Greater(t, 400, total.accepted)
	must.Greater(t, 200, total.dispatched)
	must.Greater(t, 200, total.crashes)
	must.Greater(t, 20, total.diskLosses)
	must.Greater(t, 20, total.membershipChanges)
	must.Greater(t, 100, total.fullDisks)
}

type totals struct{ accepted, dispatched, crashes, diskLosses, membershipChanges, fullDisks int }

func (t *totals) add(r *schedule.Report) {
	t.accepted += r.Accepted()
	t.dispatched += r.Dispatched()
	t.crashes += r.Crashes()
	t.diskLosses += r.DiskLosses()
	t.membershipChanges += r.MembershipChanges()
	t.fullDisks += r.FullDisks()
}

// describe lists the violations of a run, one per line.
func describe(r *schedule.Report) string {
	text := ""
	for _, v := range r.Violations() {
		text += v.String() + "\n"
	}
	return text
}

// Guards against non-determinism, with which a failure could not be reproduced
// from its seed.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	for seed := range uint64(20) {
		first := schedule.Run(schedule.NewRandom(seed), schedule.WithHosts(5))
		second := schedule.Run(schedule.NewRandom(seed), schedule.WithHosts(5))
		must.Eq(t, first.Crashes(), second.Crashes())
		must.Eq(t, first.Elections(), second.Elections())
		must.Eq(t, len(first.Operations()), len(second.Operations()))
		for n, op := range first.Operations() {
			must.Eq(t, op.End(), second.Operations()[n].End())
		}
	}
}
