package upstream_test

import (
	"context"
	"sync/atomic"
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

// heartbeatInterval is the interval at which instances announce themselves.
const heartbeatInterval = 1500 * time.Millisecond

// unnamedService becomes a service that a rule names when its flag is set.
const unnamedService = "unheard-of"

func namedInstances(l agreement.Log, m *state.Machine, named *atomic.Bool) *upstream.Instances {
	return upstream.New("control-1", l, m, hclog.NewNullLogger(), upstream.WithNamed(func(service string) bool {
		return service != unnamedService || named.Load()
	}))
}

// other is an announcement of a later start at the address of instance 1.
func other(service string, sequence uint64) *wire.Instance {
	m := heartbeat(1, sequence)
	m.Id, m.Service, m.Incarnation = "other", service, 9
	return m
}

// Guards against an instance that is lost until it starts again, because another writer
// announced a later start of an unknown service at its address or by its identifier.
func TestAnnouncementOfAnUnnamedServiceEndsNoOtherRecord(t *testing.T) {
	sameID := other(unnamedService, 1)
	sameID.Id = "i-1"
	elsewhere := heartbeat(2, 1)
	elsewhere.Id, elsewhere.Service, elsewhere.Incarnation = "i-1", unnamedService, 9
	for name, odd := range map[string]*wire.Instance{"address": other(unnamedService, 1), "identifier": sameID, "identifier at another address": elsewhere} {
		synctest.Test(t, func(t *testing.T) {
			log := &slowLog{machine: state.New()}
			instances := namedInstances(log, log.machine, &atomic.Bool{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go instances.Run(ctx)
			for sequence := range uint64(10) {
				must.NoError(t, instances.Announce(ctx, heartbeat(1, sequence+1)))
				odd.Sequence = sequence + 1
				must.NoError(t, instances.Announce(ctx, odd), must.Sprint(name))
				record := log.machine.Instance("i-1")
				must.False(t, record.GetGone() || record.GetSilent(), must.Sprint(name))
				must.Eq(t, "shop", record.GetService(), must.Sprint(name))
				must.Eq(t, 1, record.GetIncarnation(), must.Sprint(name))
				must.Eq(t, "i-1", log.machine.InstanceAt(record.GetAddress()).GetId(), must.Sprint(name))
				time.Sleep(heartbeatInterval)
			}
			must.Eq(t, 1, log.proposed(), must.Sprint(name))
		})
	}
}

// Guards against an earlier instance that is still used at an address that a later one of
// another service uses.
func TestLaterInstanceOfANamedServiceTakesOverTheAddressAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		var named atomic.Bool
		instances := namedInstances(log, log.machine, &named)
		must.NoError(t, instances.Announce(t.Context(), heartbeat(1, 1)))
		must.NoError(t, instances.Announce(t.Context(), other(unnamedService, 1)))
		must.False(t, log.machine.Instance("i-1").GetGone())
		named.Store(true) // a new version of the rules names the service
		must.NoError(t, instances.Announce(t.Context(), other(unnamedService, 2)))
		must.True(t, log.machine.Instance("i-1").GetGone())
		must.False(t, log.machine.Instance("other").GetGone())
	})
}

// Guards against the same where no rule names the service of the later instance yet: the
// earlier one, which ended, announces nothing any more.
func TestLaterInstanceOfAnUnnamedServiceTakesOverTheAddressOfASilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		instances := namedInstances(log, log.machine, &atomic.Bool{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go instances.Run(ctx)
		must.NoError(t, instances.Announce(ctx, heartbeat(1, 1)))
		ended := time.Now()
		for sequence := uint64(1); !log.machine.Instance("i-1").GetGone(); sequence++ {
			must.Less(t, 2*upstream.DefaultLease+3*heartbeatInterval, time.Since(ended))
			time.Sleep(heartbeatInterval)
			must.NoError(t, instances.Announce(ctx, other(unnamedService, sequence)))
		}
		must.LessEq(t, time.Since(ended), 2*upstream.DefaultLease)
		must.Eq(t, "other", log.machine.InstanceAt(heartbeat(1, 1).GetAddress()).GetId())
	})
}

// Guards against instances that are recorded only after a rule names their service.
func TestInstanceOfAnUnnamedServiceIsRecordedAtAnAddressOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		instances := namedInstances(log, log.machine, &atomic.Bool{})
		left := heartbeat(1, 2)
		must.NoError(t, instances.Announce(t.Context(), heartbeat(1, 1)))
		must.NoError(t, instances.Withdraw(t.Context(), left))
		must.NoError(t, instances.Announce(t.Context(), other(unnamedService, 1)))
		must.False(t, log.machine.Instance("other").GetGone())
		draining := other(unnamedService, 2)
		draining.Draining = true
		must.NoError(t, instances.Announce(t.Context(), draining))
		must.True(t, log.machine.Instance("other").GetDraining())
	})
}

// partitionedLog is a log without a quorum.
type partitionedLog struct{ *slowLog }

func (partitionedLog) Status() agreement.Status {
	return agreement.NewStatus("", "", 1, 1, false, nil)
}

// Guards against an acknowledgement of a control host that is cut off and does not know which
// instances are recorded.
func TestAnnouncementIsNotHeldBackWithoutAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		must.NoError(t, namedInstances(log, log.machine, &atomic.Bool{}).Announce(t.Context(), heartbeat(1, 1)))
		cut := namedInstances(partitionedLog{log}, log.machine, &atomic.Bool{})
		must.ErrorIs(t, cut.Announce(t.Context(), other(unnamedService, 1)), upstream.ErrNoQuorum)
	})
}

// Guards against an instance that gets requests after its drain was acknowledged, because the
// announcement that said so stated a service that no rule names.
func TestDrainOfTheRecordedInstanceIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		instances := namedInstances(log, log.machine, &atomic.Bool{})
		must.NoError(t, instances.Announce(t.Context(), heartbeat(1, 1)))
		draining := heartbeat(1, 2)
		draining.Service, draining.Draining = unnamedService, true
		must.NoError(t, instances.Announce(t.Context(), draining))
		must.True(t, log.machine.Instance("i-1").GetDraining())
	})
}

// Guards against an instance that is lost until it starts again, because its record was marked
// silent while the control group had no quorum, and the other writer came first after that.
func TestAnnouncementOfAnUnnamedServiceEndsNoRecordAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{machine: state.New()}
		instances := namedInstances(log, log.machine, &atomic.Bool{})
		must.NoError(t, instances.Announce(t.Context(), heartbeat(1, 1)))
		time.Sleep(2 * upstream.DefaultLease) // announcements are refused meanwhile
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go instances.Run(ctx)
		time.Sleep(time.Second)
		must.True(t, log.machine.Instance("i-1").GetSilent())
		must.NoError(t, instances.Announce(ctx, other(unnamedService, 1)))
		must.NoError(t, instances.Announce(ctx, heartbeat(1, 2)))
		record := log.machine.Instance("i-1")
		must.False(t, record.GetGone() || record.GetSilent())
	})
}
