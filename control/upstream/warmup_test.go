package upstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/control/upstream"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
)

func coldHeartbeat(sequence uint64, left time.Duration) *wire.Instance {
	m := heartbeat(1, sequence)
	m.Cold, m.WarmupLeftNs = left > 0, int64(left)
	return m
}

// newColdInstances returns the Instances of a host whose rules limit the requests to cold ones.
func newColdInstances(log *slowLog, name string) *upstream.Instances {
	return newInstances(log, name, upstream.WithTerms(func(service string) *contract.Service {
		return contract.NewService(service, contract.WithColdRate(1.6))
	}))
}

// Guards against a commit with each announcement of a cold instance, and against a record that
// states the first of two cold times, after which hosts no longer limit the instance.
func TestInstanceThatTurnsColdAgainIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		host := newColdInstances(log, "control-1")
		left := func() time.Duration { return time.Duration(log.machine.Instance("i-1").GetWarmupLeftNs()) }
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(1, 3*time.Second)))
		time.Sleep(1500 * time.Millisecond)
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(2, 1500*time.Millisecond)))
		must.Eq(t, 1, log.proposed())
		must.Eq(t, 3*time.Second, left())
		time.Sleep(time.Second)
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(3, 2900*time.Millisecond)))
		must.Eq(t, 2, log.proposed())
		must.Eq(t, 2900*time.Millisecond, left())
		must.True(t, log.machine.Instance("i-1").GetCold())
		time.Sleep(1500 * time.Millisecond)
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(4, 1400*time.Millisecond)))
		must.Eq(t, 2, log.proposed())
		time.Sleep(1500 * time.Millisecond)
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(5, 0)))
		must.Eq(t, 3, log.proposed())
		must.False(t, log.machine.Instance("i-1").GetCold())
	})
}

// Guards against commits for renewals that come to another control host than the one that
// recorded the instance, which does not know when that was.
func TestRenewalOfAColdInstanceAtAnotherHostIsNoCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		holder, other := newColdInstances(log, "control-1"), newColdInstances(log, "control-2")
		must.NoError(t, holder.Announce(t.Context(), coldHeartbeat(1, 3*time.Second)))
		time.Sleep(1500 * time.Millisecond)
		must.NoError(t, other.Announce(t.Context(), coldHeartbeat(2, 1500*time.Millisecond)))
		must.Eq(t, 1, log.proposed())
		time.Sleep(time.Second)
		must.NoError(t, other.Announce(t.Context(), coldHeartbeat(3, 2900*time.Millisecond)))
		must.Eq(t, 2, log.proposed())
		must.Eq(t, int64(2900*time.Millisecond), log.machine.Instance("i-1").GetWarmupLeftNs())
	})
}

// A late announcement must not change the record, nor what is known of it.
func TestLateAnnouncementDoesNotMakeTheInstanceColdAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		host := newColdInstances(log, "control-1")
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(5, time.Second)))
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(4, 3*time.Second)))
		must.Eq(t, int64(time.Second), log.machine.Instance("i-1").GetWarmupLeftNs())
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(6, 3*time.Second)))
		must.Eq(t, int64(3*time.Second), log.machine.Instance("i-1").GetWarmupLeftNs())
	})
}

// Guards against a host that starts again and takes a second cold time for the one that its
// record states, as it no longer knows when that was.
func TestHostThatStartsAgainRecordsAColdInstanceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		must.NoError(t, newColdInstances(log, "control-1").Announce(t.Context(), coldHeartbeat(1, 3*time.Second)))
		time.Sleep(2500 * time.Millisecond)
		host := newColdInstances(log, "control-1")
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(2, 2900*time.Millisecond)))
		must.Eq(t, 2, log.proposed())
		must.Eq(t, int64(2900*time.Millisecond), log.machine.Instance("i-1").GetWarmupLeftNs())
		time.Sleep(1500 * time.Millisecond)
		must.NoError(t, host.Announce(t.Context(), coldHeartbeat(3, 1400*time.Millisecond)))
		must.Eq(t, 2, log.proposed())
	})
}

// Guards against commits, and news for all hosts, with each announcement of an instance whose
// service does not limit the requests to cold ones.
func TestColdTimeOfAServiceWithoutALimitIsNoCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		host := newInstances(log, "control-1")
		for sequence := range uint64(4) {
			must.NoError(t, host.Announce(t.Context(), coldHeartbeat(sequence+1, 3*time.Second)))
			time.Sleep(1500 * time.Millisecond)
		}
		must.Eq(t, 1, log.proposed())
	})
}
