package schedule_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/schedule"
)

// Right after one host is repaired, a second can be lost.
func TestRepairOneThenLoseASecond(t *testing.T) {
	for _, hosts := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			w := schedule.NewSimulation(schedule.NewRandom(1), schedule.WithHosts(hosts), schedule.WithoutFaults())
			for n := range hosts {
				must.True(t, w.Submit())
				must.True(t, w.Claim(fmt.Sprintf("key-%d", n%4)), must.Sprint("claim"))
				w.LoseDisk(fmt.Sprintf("control-%d", n+1))
				if n >= 3 {
					break
				}
				must.True(t, w.Repair(), must.Sprintf("repair after the loss of host %d", n+1))
			}
			must.True(t, w.Repair())
			must.True(t, w.Submit())
			w.CheckHealed()
			must.Eq(t, "", describe(w.Report()))
		})
	}
}

// A host that comes back with a blank disk under its old name has no vote: the
// two that are left must not lose what only one of them holds.
func TestBlankDiskUnderAnOldNameHasNoVote(t *testing.T) {
	w := schedule.NewSimulation(schedule.NewRandom(2), schedule.WithHosts(3), schedule.WithoutFaults())
	must.True(t, w.Submit())
	leader := w.Leader()
	w.LoseDisk(leader)
	others := map[string]bool{"control-1": true, "control-2": true, "control-3": true}
	delete(others, leader)
	for name := range others {
		w.Crash(name)
	}
	// Only the blank host runs: it must not become a leader.
	must.False(t, w.RunUntil(func() bool { return w.Leader() != "" }))
	w.Heal()
	must.True(t, w.Repair())
	w.CheckHealed()
	must.Eq(t, "", describe(w.Report()))
}
