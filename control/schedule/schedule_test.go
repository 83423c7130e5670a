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

// drawn lets rapid make the choices, so that a failing schedule is shrunk.
type drawn struct{ t *rapid.T }

func (d drawn) Int(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

func TestDrawnSchedulesKeepEveryPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 5}).Draw(t, "hosts")
		report := schedule.Run(drawn{t}, schedule.WithHosts(hosts), schedule.WithSteps(250))
		must.Eq(t, "", describe(report))
	})
}

func TestManySchedulesKeepEveryPromise(t *testing.T) {
	total := &tally{}
	for seed := range uint64(400) {
		report := schedule.Run(schedule.NewRandom(seed), schedule.WithHosts(3+2*int(seed%2)), schedule.WithSteps(600))
		must.Eq(t, "", describe(report), must.Sprintf("seed %d", seed))
		total.add(report)
	}
	// A run in which nothing happens would keep every promise too.
	t.Logf("%+v", *total)
	must.Greater(t, 400, total.accepted)
	must.Greater(t, 200, total.dispatched)
	must.Greater(t, 200, total.crashes)
	must.Greater(t, 20, total.blanks)
	must.Greater(t, 20, total.changes)
}

type tally struct{ accepted, dispatched, crashes, blanks, changes int }

func (t *tally) add(r *schedule.Report) {
	t.accepted += r.Accepted()
	t.dispatched += r.Dispatched()
	t.crashes += r.Crashes()
	t.blanks += r.DiskLosses()
	t.changes += r.MembershipChanges()
}

// describe joins the violations of a run, for the test's output.
func describe(r *schedule.Report) string {
	text := ""
	for _, v := range r.Violations() {
		text += v.String() + "\n"
	}
	return text
}

// The same seed must give the same run, or a failure could not be repeated.
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
