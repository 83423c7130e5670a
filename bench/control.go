package main

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/control/schedule"
)

func init() { register("control", measureSchedules) }

// Size of the generated schedules. Their seeds differ from those of the tests,
// so that the bench covers other schedules.
const (
	scheduleCount     = 5000
	scheduleSteps     = 600
	scheduleFirstSeed = 1_000_000
	scheduleWorkers   = 3
)

// scheduleTally sums up the events and the violated invariants of many
// schedules.
type scheduleTally struct {
	mu                sync.Mutex
	runs              int
	violations        map[schedule.Invariant]int
	firstViolation    string
	accepted          int
	claims            int
	crashes           int
	diskLosses        int
	membershipChanges int
}

func (t *scheduleTally) add(seed uint64, r *schedule.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	t.accepted += r.Accepted()
	t.claims += r.Dispatched()
	t.crashes += r.Crashes()
	t.diskLosses += r.DiskLosses()
	t.membershipChanges += r.MembershipChanges()
	for _, v := range r.Violations() {
		t.violations[v.Invariant()]++
		if t.firstViolation == "" {
			t.firstViolation = fmt.Sprintf("seed %d: %s", seed, v)
		}
	}
}

func (t *scheduleTally) total() int {
	n := 0
	for _, count := range t.violations {
		n += count
	}
	return n
}

func (t *scheduleTally) note() string {
	note := fmt.Sprintf("%d schedules of %d steps, 3 and 5 hosts: %d changes accepted, %d claims dispatched, %d crashes, %d disks lost, %d memberships committed",
		t.runs, scheduleSteps, t.accepted, t.claims, t.crashes, t.diskLosses, t.membershipChanges)
	if t.firstViolation != "" {
		note += "; first violation: " + t.firstViolation
	}
	return note
}

// measureSchedules runs generated schedules on simulated disks that lose
// unsynced writes, and counts the violations of each invariant.
func measureSchedules(emit func(figure.Figure)) error {
	tally := &scheduleTally{violations: map[schedule.Invariant]int{}}
	var next atomic.Uint64
	var group sync.WaitGroup
	for range min(scheduleWorkers, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for n := next.Add(1); n <= scheduleCount; n = next.Add(1) {
				seed := scheduleFirstSeed + n
				tally.add(seed, schedule.Run(schedule.NewRandom(seed), schedule.WithHosts(3+2*int(n%2)), schedule.WithSteps(scheduleSteps)))
			}
		})
	}
	group.Wait()
	lost := tally.violations[schedule.NoLoss] + tally.violations[schedule.SameEntries]
	doubled := tally.violations[schedule.OneHolder]
	emit(figure.AtLeast("control", "schedules", float64(tally.runs), "schedules", scheduleCount).WithNote(tally.note()))
	emit(figure.AtMost("control", "lostAcceptedChanges", float64(lost), "changes", 0))
	emit(figure.AtMost("control", "revertedVersions", float64(tally.violations[schedule.MonotonicReads]), "versions", 0))
	emit(figure.AtMost("control", "doubleClaims", float64(doubled), "claims", 0))
	emit(figure.AtMost("control", "brokenPromises", float64(tally.total()), "violations", 0).WithNote("all promises of the schedules, those above among them"))
	return nil
}
