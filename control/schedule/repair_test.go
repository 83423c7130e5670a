package schedule_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/schedule"
)

// Guards against a loss of quorum when a second host loses its disk immediately
// after the membership was repaired for the first.
func TestRepairOneThenLoseASecond(t *testing.T) {
	for _, hosts := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			sim := schedule.NewSimulation(schedule.NewRandom(1), schedule.WithHosts(hosts), schedule.WithoutFaults())
			for n := range hosts {
				must.True(t, sim.Submit())
				must.True(t, sim.Claim(fmt.Sprintf("key-%d", n%4)), must.Sprint("claim"))
				sim.LoseDisk(fmt.Sprintf("control-%d", n+1))
				if n >= 3 {
					break
				}
				must.True(t, sim.Repair(), must.Sprintf("repair after host %d lost its disk", n+1))
			}
			must.True(t, sim.Repair())
			must.True(t, sim.Submit())
			sim.CheckHealed()
			must.Eq(t, "", describe(sim.Report()))
		})
	}
}

// Guards against the loss of an accepted change when a host restarts with an empty
// disk under its old name: it has no vote, so it must not form a quorum that lacks
// an entry that only one of the other two hosts has.
func TestEmptyDiskUnderAnOldNameHasNoVote(t *testing.T) {
	sim := schedule.NewSimulation(schedule.NewRandom(2), schedule.WithHosts(3), schedule.WithoutFaults())
	must.True(t, sim.Submit())
	leader := sim.Leader()
	sim.LoseDisk(leader)
	others := map[string]bool{"control-1": true, "control-2": true, "control-3": true}
	delete(others, leader)
	for name := range others {
		sim.Crash(name)
	}
	// Only the host with the empty disk is running: it must not become leader.
	must.False(t, sim.RunUntil(func() bool { return sim.Leader() != "" }))
	sim.Heal()
	must.True(t, sim.Repair())
	sim.CheckHealed()
	must.Eq(t, "", describe(sim.Report()))
}
