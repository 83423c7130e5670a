package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
)

// drained drains a host with one request that takes the given time, and returns
// how long the drain took.
func drained(ctx context.Context, t *testing.T, duration time.Duration) time.Duration {
	state := newState(settings.Default(), rules.NewTable(), backlog.NewTracker(), poison.NewTracker(), &route.Views{}, isolation.New(nil, &route.Views{}), admission.New())
	request := state.requests.Track("aftercare", time.Now())
	time.AfterFunc(duration, func() { request.End(false, time.Now()) })
	started := time.Now()
	drain(ctx, state, control.NewSettler(nil), drainHooks{
		report:        func(context.Context) { time.Sleep(time.Second) }, // unresponsive control hosts
		closeListener: func() { must.Eq(t, seconds(state.cfg.Host.LeaveSeconds), time.Since(started)) },
	}, hclog.NewNullLogger())
	must.Eq(t, "draining", state.Name())
	return time.Since(started)
}

func TestDrainWaitsUntilTheLastAddressResponseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := drained(t.Context(), t, time.Millisecond)
		must.GreaterEq(t, seconds(settings.Default().Host.LeaveSeconds), took)
	})
}

func TestDrainWaitsForTheLongestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := drained(t.Context(), t, 3*time.Hour)
		must.GreaterEq(t, 3*time.Hour, took)
		must.Less(t, 3*time.Hour+time.Second, took)
	})
}

func TestOnlyASettingCutsADrainShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		must.Eq(t, time.Minute, drained(ctx, t, time.Hour))
		time.Sleep(time.Hour)
	})
	must.Eq(t, stopTimeout, stopLimit(settings.Default()))
}

func TestDrainClosesTheListenerBeforeRequestsInFlightEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := newState(settings.Default(), rules.NewTable(), backlog.NewTracker(), poison.NewTracker(), &route.Views{}, isolation.New(nil, &route.Views{}), admission.New())
		request := state.requests.Track("aftercare", time.Now())
		time.AfterFunc(time.Minute, func() { request.End(false, time.Now()) })
		started, refused := time.Now(), make(chan time.Duration, 1)
		drain(t.Context(), state, control.NewSettler(nil), drainHooks{
			report:        func(context.Context) {},
			closeListener: func() { refused <- time.Since(started) },
		}, hclog.NewNullLogger())
		must.Eq(t, seconds(state.cfg.Host.LeaveSeconds), <-refused)
		must.GreaterEq(t, time.Minute, time.Since(started))
	})
}

func TestRequestsEndBeforeTheProcessAndTheProcessBeforeTheLimitOfAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := settings.Default()
		cfg.Host.LeaveSeconds, cfg.Host.StopLimitSeconds = 2, 8
		state := newState(cfg, rules.NewTable(), backlog.NewTracker(), poison.NewTracker(), &route.Views{}, isolation.New(nil, &route.Views{}), admission.New())
		request := state.requests.Track("aftercare", time.Now())
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), stopLimit(cfg))
		defer cancel()
		drain(ctx, state, control.NewSettler(nil), drainHooks{
			report: func(context.Context) {},
			endRequestsAt: func(at time.Time) {
				must.Zero(t, time.Since(started))
				must.Eq(t, 7*time.Second, at.Sub(started))
				time.AfterFunc(time.Until(at), func() { request.End(true, time.Now()) })
			},
			closeListener: func() { must.Eq(t, 2*time.Second, time.Since(started)) },
		}, hclog.NewNullLogger())
		must.Less(t, stopLimit(cfg), time.Since(started))
		must.Less(t, 8*time.Second, stopLimit(cfg))
	})
}

func TestListenerClosesAtTheEndOfRequestsIfTheLeaveTimeIsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := settings.Default()
		cfg.Host.LeaveSeconds, cfg.Host.StopLimitSeconds = 10, 8
		state := newState(cfg, rules.NewTable(), backlog.NewTracker(), poison.NewTracker(), &route.Views{}, isolation.New(nil, &route.Views{}), admission.New())
		started, closed := time.Now(), time.Duration(0)
		ctx, cancel := context.WithTimeout(t.Context(), stopLimit(cfg))
		defer cancel()
		drain(ctx, state, control.NewSettler(nil), drainHooks{
			report:        func(context.Context) {},
			endRequestsAt: func(time.Time) {},
			closeListener: func() { closed = time.Since(started) },
		}, hclog.NewNullLogger())
		must.Eq(t, 7*time.Second, closed)
		must.NoError(t, ctx.Err())
	})
}

func TestProgramStopsWithinTheLimit(t *testing.T) {
	cfg := settings.Default()
	cfg.Host.StopLimitSeconds = 8
	must.Eq(t, stopLimit(cfg), New(cfg, hclog.NewNullLogger()).StopTimeout())
	must.Less(t, 8*time.Second, stopLimit(cfg))
}
