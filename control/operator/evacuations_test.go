package operator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// orderLog is a log whose hooks run before a confirmation ends and before a command is applied.
type orderLog struct {
	*partitionedLog
	confirming, proposing func()
	proposed              int
	unknown               bool // the leader does not know the command
}

func (l *orderLog) Confirm(ctx context.Context) error {
	if l.confirming != nil {
		l.confirming()
	}
	return l.partitionedLog.Confirm(ctx)
}

func (l *orderLog) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	l.proposed++
	if l.proposing != nil {
		l.proposing()
	}
	if l.unknown {
		return &wire.Result{}, nil
	}
	return l.partitionedLog.Propose(ctx, cmd)
}

func newEvacuations(opts ...operator.EvacuationsOption) (*operator.Evacuations, *orderLog, *fleet.Fleet) {
	log := &orderLog{partitionedLog: &partitionedLog{quorumLog: &quorumLog{machine: state.New()}}}
	hosts := fleet.New()
	return operator.NewEvacuations("control-1", log, log.machine, hosts, hclog.NewNullLogger(), opts...), log, hosts
}

func start(zone string) *wire.EvacuationOrder  { return &wire.EvacuationOrder{Zone: zone} }
func finish(zone string) *wire.EvacuationOrder { return &wire.EvacuationOrder{Zone: zone, End: true} }

func codeOf(err error) twirp.ErrorCode {
	var t twirp.Error
	if errors.As(err, &t) {
		return t.Code()
	}
	return twirp.NoError
}

func TestZonesOfSettingsHostsAndInstancesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, hosts := newEvacuations(operator.WithOwnZone("own"), operator.WithZones([]string{"listed"}))
		hosts.BeginPoll(&wire.HostReport{Name: "entry-1", Role: "entry", Zone: "entry"}, time.Now())
		log.machine.Apply(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: &wire.Instance{
			Id: "i", Service: "shop", Address: "10.0.0.1:80", Zone: "instance", Incarnation: 1,
		}}}})
		for _, zone := range []string{"own", "listed", "entry", "instance"} {
			for _, order := range []*wire.EvacuationOrder{start(zone), start(zone), finish(zone), finish(zone)} {
				_, err := s.Order(t.Context(), order)
				must.NoError(t, err, must.Sprint(order))
			}
		}
		for _, order := range []*wire.EvacuationOrder{start("elsewhere"), finish("elsewhere")} {
			_, err := s.Order(t.Context(), order)
			must.Eq(t, twirp.NotFound, codeOf(err))
		}
	})
}

// Guards against an evacuation that nobody can end because the zone has no instance any more.
func TestEvacuationOfAZoneThatHasNothingLeftCanBeEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations()
		log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: start("gone")}})
		result, err := s.Order(t.Context(), finish("gone"))
		must.NoError(t, err)
		must.True(t, result.GetChanged())
	})
}

// Guards against a 404 for a repeated order whose first response was lost.
func TestOrderThatEndsTheLastTraceOfAZoneCanBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations()
		log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: start("gone")}})
		time.Sleep(10 * time.Second)
		for range 2 {
			_, err := s.Order(t.Context(), finish("gone"))
			must.NoError(t, err)
		}
	})
}

// Guards against a 404 for a valid order, from a control host that has just started.
func TestHostThatHasJustStartedCallsNoZoneUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newEvacuations()
		_, err := s.Order(t.Context(), start("a"))
		must.Eq(t, twirp.Unavailable, codeOf(err))
		time.Sleep(10 * time.Second)
		_, err = s.Order(t.Context(), start("a"))
		must.Eq(t, twirp.NotFound, codeOf(err))
	})
}

// Guards against a 404 from a control host whose state lags: a zone is unknown only once the
// state is confirmed.
func TestZoneIsLookedUpInTheConfirmedState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"listed"}))
		log.confirming = func() {
			log.machine.Apply(&wire.Command{Body: &wire.Command_Announce{Announce: &wire.Announcement{Instance: &wire.Instance{
				Id: "i", Service: "shop", Address: "10.0.0.1:80", Zone: "new", Incarnation: 1,
			}}}})
		}
		_, err := s.Order(t.Context(), start("new"))
		must.NoError(t, err)
	})
}

func TestOrderWithoutAQuorumIsNotProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"a"}))
		log.quorumLost.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Order(ctx, start("a"))
		must.Eq(t, twirp.Unavailable, codeOf(err))
		must.Zero(t, log.proposed)
	})
}

// Guards against an order that is carried out after its caller has gone away, and has
// perhaps sent the opposite one to another host.
func TestOrderOfACallerThatHasGoneAwayIsNotProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"a"}))
		ctx, leave := context.WithCancel(t.Context())
		log.confirming = leave
		_, err := s.Order(ctx, start("a"))
		must.Eq(t, twirp.Unavailable, codeOf(err))
		must.Zero(t, log.proposed)
	})
}

// expiredContext is a context whose deadline has passed and whose timer has not run yet, as
// after a pause of the process.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// Guards against an order that a control host carries out when it continues after a pause, in
// which its caller moved on and sent others elsewhere.
func TestOrderPastItsDeadlineIsNotProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"a"}))
		_, err := s.Order(expiredContext{t.Context()}, start("a"))
		must.Eq(t, twirp.Unavailable, codeOf(err))
		must.Zero(t, log.proposed)
	})
}

// pausedContext is a context in which a function runs while it is checked for its end.
type pausedContext struct {
	context.Context
	paused func()
}

func (c pausedContext) Err() error {
	err := c.Context.Err()
	c.paused()
	return err
}

// Guards against an order that takes those applied after the check of its caller for known, and
// so undoes a later one.
func TestOrderKnowsNoneThatCameAfterItsCallerWasChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"a"}))
		ctx := pausedContext{Context: t.Context(), paused: func() {
			for _, o := range []*wire.EvacuationOrder{start("a"), finish("a")} {
				o.KnownOrders = log.machine.EvacuationOrders("a")
				log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: o}})
			}
		}}
		_, err := s.Order(ctx, start("a"))
		must.Eq(t, twirp.Unavailable, codeOf(err))
		zones, _ := log.machine.EvacuatedZones()
		must.SliceEmpty(t, zones)
	})
}

// Guards against an order that is acknowledged although the leader, of a build without
// evacuations, applied nothing.
func TestOrderThatTheLeaderDoesNotKnowIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"a"}))
		log.unknown = true
		_, err := s.Order(t.Context(), start("a"))
		var refusal twirp.Error
		must.True(t, errors.As(err, &refusal))
		must.Eq(t, twirp.Unavailable, refusal.Code())
		must.Eq(t, operator.TakenUnknown, refusal.Meta(operator.MetaTaken), must.Sprint("newer replicas have applied it"))
	})
}

func TestOvertakenOrderIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"a"}))
		log.proposing = func() { // orders that other control hosts took meanwhile
			log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: start("a")}})
			log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: &wire.EvacuationOrder{Zone: "a", End: true, KnownOrders: 1}}})
		}
		_, err := s.Order(t.Context(), start("a"))
		must.Eq(t, twirp.Unavailable, codeOf(err))
		zones, revision := log.machine.EvacuatedZones()
		must.SliceEmpty(t, zones)
		must.Eq(t, 2, revision)
	})
}

func TestListWithoutAQuorumIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, log, _ := newEvacuations(operator.WithZones([]string{"a"}))
		_, err := s.Order(t.Context(), start("a"))
		must.NoError(t, err)
		for _, lost := range []bool{false, true} {
			log.quorumLost.Store(lost)
			got, err := s.List(t.Context(), &wire.EvacuationsRequest{})
			must.NoError(t, err)
			must.Eq(t, lost, got.GetStale())
			must.Eq(t, "a", got.GetEvacuations()[0].GetZone())
		}
	})
}

func TestEvacuationEndsPollsForInstancesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newPartitionedRules(t)
		order := func(o *wire.EvacuationOrder) {
			o.KnownOrders = log.machine.EvacuationOrders(o.GetZone())
			log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: o}})
		}
		announce(log.machine, "80", 1, false)
		request := &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000, Instances: true, KnownInstances: 1}
		for n, o := range []*wire.EvacuationOrder{start("b"), start("a"), finish("b"), finish("a")} {
			go func() {
				time.Sleep(time.Second)
				order(o)
			}()
			began := time.Now()
			got, err := rules.Watch(t.Context(), request)
			must.NoError(t, err)
			must.Less(t, 1300*time.Millisecond, time.Since(began))
			must.Eq(t, [][]string{{"b"}, {"a", "b"}, {"a"}, nil}[n], got.GetEvacuatedZones())
			must.Eq(t, n+1, int(got.GetEvacuationsRevision()))
			request.KnownEvacuations = got.GetEvacuationsRevision()
		}
		began := time.Now()
		_, err := rules.Watch(t.Context(), request)
		must.NoError(t, err)
		must.GreaterEq(t, 3*time.Second, time.Since(began), must.Sprint("a poll that knows the zones waits"))
		// A poll that does not request instances neither ends nor gets the zones.
		go func() {
			time.Sleep(time.Second)
			order(start("a"))
		}()
		began = time.Now()
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000})
		must.NoError(t, err)
		must.GreaterEq(t, 3*time.Second, time.Since(began))
		must.SliceEmpty(t, got.GetEvacuatedZones())
	})
}

// Guards against an entry host that starts with instances from a control host that lags
// behind: the first response with instances is confirmed, also if it carries a newer version.
func TestFirstResponseWithInstancesIsConfirmedAndHasTheZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newPartitionedRules(t)
		announce(log.machine, "80", 1, false)
		log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: start("a")}})
		submit(t, rules, 2)
		confirms, began := log.confirms.Load(), time.Now()
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000, Instances: true})
		must.NoError(t, err)
		must.Eq(t, confirms+1, log.confirms.Load())
		must.False(t, got.GetStale())
		must.Len(t, 1, got.GetInstances())
		must.Eq(t, []string{"a"}, got.GetEvacuatedZones())
		must.Eq(t, confirmTime, time.Since(began), must.Sprint("it does not wait for further changes"))
	})
}

// Guards against the list of all instances in each response to each entry host while there is no
// quorum, such as after a loss of power: an entry host takes its first instances confirmed only.
func TestUnconfirmedResponseHasNoFirstInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newPartitionedRules(t)
		announce(log.machine, "80", 1, false)
		log.machine.Apply(&wire.Command{Body: &wire.Command_Evacuation{Evacuation: start("a")}})
		log.quorumLost.Store(true)
		for _, known := range []uint64{0, 1} { // versions
			got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: known, WaitMs: 200, Instances: true})
			must.NoError(t, err)
			must.True(t, got.GetStale())
			must.SliceEmpty(t, got.GetInstances())
			must.Zero(t, got.GetInstancesRevision())
			must.Zero(t, got.GetEvacuationsRevision())
		}
		log.quorumLost.Store(false)
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 200, Instances: true})
		must.NoError(t, err)
		must.False(t, got.GetStale())
		must.Len(t, 1, got.GetInstances())
		must.Eq(t, []string{"a"}, got.GetEvacuatedZones())

		log.quorumLost.Store(true) // changes are sent without confirmation, as before
		announce(log.machine, "81", 1, false)
		got, err = rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 200, Instances: true, KnownInstances: 1})
		must.NoError(t, err)
		must.Len(t, 1, got.GetInstances())
		must.Eq(t, 1, int(got.GetEvacuationsRevision()))
	})
}

var _ agreement.Log = (*orderLog)(nil)
