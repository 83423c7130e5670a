package host

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/intake"
	"github.com/snipebeam/snipebeam/world/logging"
	"go.uber.org/fx"
)

// stopLine is a log line of a planned stop.
type stopLine struct {
	Message    string          `json:"@message"`
	Level      string          `json:"@level"`
	At         time.Time       `json:"@timestamp"`
	EndsAt     string          `json:"endsAt"`
	InFlight   int             `json:"inFlight"`
	OldestMs   int64           `json:"oldestMs"`
	Queued     int             `json:"queued"`
	Receiving  int             `json:"receiving"`
	Awaiting   int             `json:"awaiting"`
	Responding int             `json:"responding"`
	Requests   []listedRequest `json:"requests"`
}

// lineBuffer collects log lines.
type lineBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *lineBuffer) lines(t *testing.T, message string) []stopLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []stopLine
	for _, data := range bytes.Split(bytes.TrimSpace(b.out.Bytes()), []byte("\n")) {
		var line stopLine
		must.NoError(t, json.Unmarshal(data, &line))
		if line.Message == message {
			found = append(found, line)
		}
	}
	return found
}

// stopWith stops a host that has the given limit and holds requests for a time,
// and returns its log.
func stopWith(t *testing.T, limit, duration time.Duration, requests ...func(r *backlog.Request)) *lineBuffer {
	t.Helper()
	cfg := settings.Default()
	cfg.Host.LeaveSeconds = 2.5
	state := newState(cfg, rules.NewTable(), backlog.NewTracker(), poison.NewTracker(), &route.Views{}, isolation.New(nil, &route.Views{}), admission.New())
	for n, advance := range requests {
		r := state.requests.Track("catalogue", time.Now())
		r.SetID(fmt.Sprintf("id-%d", n))
		advance(r)
		time.AfterFunc(duration, func() { r.End(false, time.Now()) })
		time.Sleep(time.Millisecond)
	}
	out := &lineBuffer{}
	logger := logging.New("test", "info", out)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	end := reportLimit(ctx, state, logger)
	drain(ctx, state, control.NewSettler(nil), drainHooks{report: func(context.Context) {}, closeListener: func() {}}, logger)
	end()
	time.Sleep(duration)
	return out
}

func queued(*backlog.Request) {}

func receiving(r *backlog.Request) { r.Dispatched("i-1", time.Now()) }

func awaiting(r *backlog.Request) {
	receiving(r)
	r.Sent(time.Now())
}

func responding(r *backlog.Request) {
	awaiting(r)
	r.ResponseStarted(time.Now())
}

func TestStopSaysWhenItEndsAndWhatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stopWith(t, 6*time.Second, time.Second, queued, receiving, awaiting, awaiting, responding)
		first := out.lines(t, "draining")[0]
		must.Eq(t, first.At.Add(6*time.Second).UTC().Format(time.RFC3339Nano), first.EndsAt)
		must.Eq(t, 5, first.InFlight)
		must.Eq(t, 5, first.OldestMs)
		must.Eq(t, 1, first.Queued)
		must.Eq(t, 1, first.Receiving)
		must.Eq(t, 2, first.Awaiting)
		must.Eq(t, 1, first.Responding)
	})
}

func TestStopWithoutALimitNamesNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stopWith(t, stopTimeout, time.Second, queued)
		must.Eq(t, "none", out.lines(t, "draining")[0].EndsAt)
		must.SliceEmpty(t, out.lines(t, "stop limit reached"))
	})
}

func TestStopAtItsLimitNamesTheRequestsBeforeTheProcessIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stops, cut := stopsAtLimit.Get(), stopCutRequests.Get()
		started := time.Now()
		out := stopWith(t, 6*time.Second, time.Minute, awaiting, queued)
		lines := out.lines(t, "stop limit reached")
		must.Len(t, 1, lines)
		line := lines[0]
		must.Eq(t, "warn", line.Level)
		must.Less(t, 6*time.Second, line.At.Sub(started))
		must.Eq(t, 2, line.InFlight)
		must.Eq(t, []listedRequest{
			{ID: "id-0", Service: "catalogue", Instance: "i-1", Phase: backlog.Awaiting, AgeMs: 5802},
			{ID: "id-1", Service: "catalogue", Phase: backlog.Queued, AgeMs: 5801},
		}, line.Requests)
		must.Eq(t, stops+1, stopsAtLimit.Get())
		must.Eq(t, cut+2, stopCutRequests.Get())
	})
}

func TestStopWithManyRequestsWritesABoundedLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := stopCutRequests.Get()
		var many []func(*backlog.Request)
		for range 1000 {
			many = append(many, awaiting)
		}
		line := stopWith(t, 6*time.Second, time.Minute, many...).lines(t, "stop limit reached")[0]
		must.Eq(t, 1000, line.InFlight)
		must.Eq(t, 1000, line.Awaiting)
		must.Len(t, maxListedRequests, line.Requests)
		must.Eq(t, "id-0", line.Requests[0].ID)
		must.Eq(t, cut+1000, stopCutRequests.Get())
	})
}

func TestStopThatEndsInTimeReportsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stops, cut := stopsAtLimit.Get(), stopCutRequests.Get()
		out := stopWith(t, 6*time.Second, 5*time.Second, awaiting)
		must.SliceEmpty(t, out.lines(t, "stop limit reached"))
		must.Len(t, 1, out.lines(t, "drained"))
		must.Eq(t, stops, stopsAtLimit.Get())
		must.Eq(t, cut, stopCutRequests.Get())
	})
}

// hooks is a lifecycle that only collects hooks.
type hooks []fx.Hook

func (h *hooks) Append(hook fx.Hook) { *h = append(*h, hook) }

func TestStopOfTheCallersListenerReportsItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stops, out := stopsAtLimit.Get(), &lineBuffer{}
		cfg, table, requests, suspects := settings.Default(), rules.NewTable(), backlog.NewTracker(), poison.NewTracker()
		logger := logging.New("test", "info", out)
		state := newState(cfg, table, requests, suspects, &route.Views{}, isolation.New(nil, &route.Views{}), admission.New())
		noSeeds := func() []string { return nil }
		var lc hooks
		runCallers(&lc, callerDeps{
			Config: cfg, Logger: logger, State: state, Table: table, Settler: control.NewSettler(nil), Suspects: suspects, Backlog: requests,
			Watch: control.NewWatch(noSeeds, nil, table, state.Report, nil, logger), Relay: newRelay(cfg, isolation.New(nil, &route.Views{}), intake.NewBudget(0, 0)), Intake: intake.NewBudget(0, 0),
		})
		r := requests.Track("catalogue", time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		_ = lc[0].OnStop(ctx)
		r.End(true, time.Now())
		must.Len(t, 1, out.lines(t, "stop limit reached"))
		must.Eq(t, stops+1, stopsAtLimit.Get())
	})
}
