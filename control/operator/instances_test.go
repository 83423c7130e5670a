package operator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
)

// partitionedLog is a log whose host can lose its quorum.
type partitionedLog struct{ *quorumLog }

func (l *partitionedLog) Status() agreement.Status {
	return agreement.NewStatus("", "", 1, 1, !l.quorumLost.Load(), nil)
}

func newPartitionedRules(t *testing.T) (*operator.Rules, *partitionedLog) {
	log := &partitionedLog{quorumLog: &quorumLog{machine: state.New()}}
	rules := operator.New("control-1", log, log.machine, fleet.New())
	submit(t, rules, 1)
	return rules, log
}

func announce(m *state.Machine, id string, sequence uint64, draining bool) {
	m.Apply(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: &wire.Instance{
		Id: id, Service: "shop", Address: "10.0.0.1:" + id, Slots: 3, Incarnation: 1, Sequence: sequence, Draining: draining,
	}}}})
}

func TestWatchEndsEarlyWhenTheQuorumIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newPartitionedRules(t)
		for range 2 { // a second confirmation would wait for the first
			go func() { _, _ = rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 1000}) }()
		}
		go func() {
			time.Sleep(time.Second)
			log.quorumLost.Store(true)
		}()
		start := time.Now()
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000, Instances: true})
		must.NoError(t, err)
		must.True(t, got.GetStale())
		must.LessEq(t, 1300*time.Millisecond, time.Since(start))
		time.Sleep(5 * time.Second) // until the other polls end
	})
}

func TestWatchReturnsBatchedChangesOfInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newPartitionedRules(t)
		go func() {
			time.Sleep(time.Second)
			for n := range 5 {
				announce(log.machine, fmt.Sprint(80+n), 1, false)
			}
			announce(log.machine, "80", 2, true)
		}()
		start := time.Now()
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000, Instances: true})
		must.NoError(t, err)
		must.Len(t, 5, got.GetInstances())
		must.Eq(t, 6, got.GetInstancesRevision())
		must.Less(t, 1500*time.Millisecond, time.Since(start))
		// A poll that does not request instances is not woken by their changes.
		start = time.Now()
		got, err = rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000})
		must.NoError(t, err)
		must.SliceEmpty(t, got.GetInstances())
		must.GreaterEq(t, 3*time.Second, time.Since(start))
	})
}

// newLargeFleet returns a control host that 450 entry hosts poll.
func newLargeFleet(t *testing.T) (*operator.Rules, *partitionedLog, *fleet.Fleet) {
	log := &partitionedLog{quorumLog: &quorumLog{machine: state.New()}}
	hosts := fleet.New()
	for n := range 450 {
		hosts.BeginPoll(&wire.HostReport{Name: fmt.Sprint("entry-", n), Role: "entry", State: "ready"}, time.Now())
	}
	rules := operator.New("control-1", log, log.machine, hosts)
	submit(t, rules, 1)
	return rules, log, hosts
}

// Polls of a large fleet returned at each change of 900 instances that come and go.
func TestWatchOfALargeFleetCollectsChangesForLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log, _ := newLargeFleet(t)
		const changes = 100
		go func() {
			for n := range changes {
				time.Sleep(50 * time.Millisecond)
				announce(log.machine, fmt.Sprint(n), 1, n == changes-1)
			}
		}()
		polls, revision := 0, uint64(0)
		for revision < changes {
			got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000, Instances: true, KnownInstances: revision})
			must.NoError(t, err)
			polls++
			revision = got.GetInstancesRevision()
		}
		must.LessEq(t, 11, polls)
	})
}

func TestHostThatTakesNoPartInTheGossipGetsNoSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := fleet.New()
		hosts.BeginPoll(&wire.HostReport{Name: "entry-1", Role: "entry", State: "ready", PeersAddress: "10.0.0.1:80"}, time.Now())
		log := &partitionedLog{quorumLog: &quorumLog{machine: state.New()}}
		rules := operator.New("control-1", log, log.machine, hosts)
		submit(t, rules, 1)
		for _, without := range []bool{false, true} {
			got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, NoSeeds: without})
			must.NoError(t, err)
			must.Eq(t, without, len(got.GetSeeds()) == 0)
		}
	})
}

func TestNewsOfIsolationDoNotWaitForLongerInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, _, hosts := newLargeFleet(t)
		go func() {
			time.Sleep(time.Second)
			hosts.BeginPoll(&wire.HostReport{Name: "entry-1", Role: "entry", State: "isolated"}, time.Now())
		}()
		start := time.Now()
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000, Instances: true})
		must.NoError(t, err)
		must.Eq(t, 1, got.GetIsolations())
		must.LessEq(t, 1200*time.Millisecond, time.Since(start))
	})
}
