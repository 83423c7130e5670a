package upstream_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/control/upstream"
	"github.com/snipebeam/snipebeam/world/wire"
)

// commitTime is the time from the proposal of a command to its commit.
const commitTime = 20 * time.Millisecond

// slowLog is a log that commits each command after some time.
type slowLog struct {
	machine *state.Machine

	mu       sync.Mutex
	commands int
	hung     int // proposals that get no result
}

func (l *slowLog) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	l.mu.Lock()
	l.commands++
	hangs := l.commands <= l.hung
	l.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, agreement.ErrUncertain
	}
	time.Sleep(commitTime)
	return l.machine.Apply(cmd), nil
}

// proposed returns the number of commands so far.
func (l *slowLog) proposed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commands
}

func (l *slowLog) Confirm(context.Context) error { return nil }

func (l *slowLog) Status() agreement.Status {
	members := []*wire.Member{{Name: "control-1", Reachable: true}, {Name: "control-2", Reachable: true}}
	return agreement.NewStatus("control-1", "", 1, 1, true, members)
}

func newInstances(l *slowLog, name string, opts ...upstream.Option) *upstream.Instances {
	return upstream.New(name, l, l.machine, hclog.NewNullLogger(), opts...)
}

func heartbeat(n int, sequence uint64) *wire.Instance {
	return &wire.Instance{
		Id: fmt.Sprint("i-", n), Service: "shop", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Slots: 3,
		Incarnation: 1, Sequence: sequence,
	}
}

// Each announcement was a command of its own, and a group that 900 instances joined at once
// had no time for its elections.
func TestInstancesThatStartTogetherTakeFewCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		instances := newInstances(log, "control-1")
		var group sync.WaitGroup
		for n := range 900 {
			group.Go(func() { must.NoError(t, instances.Announce(t.Context(), heartbeat(n, 1))) })
		}
		group.Wait()
		all, _ := log.machine.Instances(0)
		must.Len(t, 900, all)
		must.LessEq(t, 6, log.proposed())
	})
}

func TestAnnouncementsDoNotWaitForALostLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New(), hung: 1}
		instances := newInstances(log, "control-1")
		first := make(chan error, 1)
		go func() { first <- instances.Announce(t.Context(), heartbeat(0, 1)) }()
		synctest.Wait()
		start := time.Now()
		must.NoError(t, instances.Announce(t.Context(), heartbeat(1, 1)))
		must.LessEq(t, 250*time.Millisecond, time.Since(start))
		must.ErrorIs(t, <-first, agreement.ErrUncertain)
	})
}

// Instances repeat a call after a second; what nobody waits for is not committed too.
func TestAnnouncementsThatWereGivenUpAreNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		instances := newInstances(log, "control-1")
		go func() { _ = instances.Announce(t.Context(), heartbeat(0, 1)) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = instances.Announce(ctx, heartbeat(1, 1)) }()
		synctest.Wait()
		cancel()
		time.Sleep(time.Second)
		all, _ := log.machine.Instances(0)
		must.Len(t, 1, all)
	})
}

// A heartbeat that fails at one control host and comes to another one was two commands, and
// two changes for each entry host.
func TestInstanceThatVisitsAnotherControlHostKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		holder, other := newInstances(log, "control-1"), newInstances(log, "control-2")
		must.NoError(t, holder.Announce(t.Context(), heartbeat(1, 1)))
		must.NoError(t, other.Announce(t.Context(), heartbeat(1, 2)))
		must.NoError(t, holder.Announce(t.Context(), heartbeat(1, 3)))
		must.Eq(t, 1, log.proposed())
		must.NoError(t, other.Announce(t.Context(), heartbeat(1, 4)))
		must.Eq(t, "control-2", log.machine.Instance("i-1").GetHeardBy())
	})
}

func TestInstanceThatMovesToAnotherControlHostIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		holder, other := newInstances(log, "control-1"), newInstances(log, "control-2")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go holder.Run(ctx)
		go other.Run(ctx)
		must.NoError(t, holder.Announce(t.Context(), heartbeat(1, 1)))
		for n := range 20 {
			time.Sleep(1500 * time.Millisecond)
			must.NoError(t, other.Announce(t.Context(), heartbeat(1, uint64(2+n))))
			must.False(t, log.machine.Instance("i-1").GetSilent())
		}
		must.Eq(t, 2, log.proposed())
		time.Sleep(2 * upstream.DefaultLease)
		must.True(t, log.machine.Instance("i-1").GetSilent())
		cancel()
	})
}

func TestDrainAtAnotherControlHostIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		holder, other := newInstances(log, "control-1"), newInstances(log, "control-2")
		must.NoError(t, holder.Announce(t.Context(), heartbeat(1, 1)))
		draining := heartbeat(1, 2)
		draining.Draining = true
		must.NoError(t, other.Announce(t.Context(), draining))
		must.True(t, log.machine.Instance("i-1").GetDraining())
	})
}
