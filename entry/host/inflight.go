package host

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/pause"
)

var (
	stopsAtLimit    = metrics.GetOrCreateCounter("snipebeam_stops_at_limit_total")
	stopCutRequests = metrics.GetOrCreateCounter("snipebeam_stop_cut_requests_total")
)

const (
	maxListedRequests = 16
	// limitNotice is the time before the limit of a stop at which it is reported,
	// since the process may be killed at the limit itself.
	limitNotice = 200 * time.Millisecond
	// limitNoticeDivisor makes the notice of a short stop a part of the stop.
	limitNoticeDivisor = 20
)

// listedRequest is a request in flight as it is written to the log.
type listedRequest struct {
	ID       string        `json:"id"`
	Service  string        `json:"service"`
	Instance instance.ID   `json:"instance,omitempty"`
	Phase    backlog.Phase `json:"phase"`
	AgeMs    int64         `json:"ageMs"`
}

// endOf returns the time at which a stop reaches its limit, as a log field.
func endOf(ctx context.Context) string {
	end, ok := ctx.Deadline()
	if !ok || time.Until(end) > stopTimeout/2 {
		return "none"
	}
	return end.UTC().Format(time.RFC3339Nano)
}

// heldFields returns the number of requests, in all and by phase, and the age of
// the oldest, as log fields.
func heldFields(held []backlog.Held) []any {
	var oldest time.Duration
	n := map[backlog.Phase]int{}
	for _, r := range held {
		oldest = max(oldest, r.Age)
		n[r.Phase]++
	}
	fields := []any{"inFlight", len(held), "oldestMs", oldest.Milliseconds()}
	for _, phase := range []backlog.Phase{backlog.Queued, backlog.Receiving, backlog.Awaiting, backlog.Responding} {
		fields = append(fields, string(phase), n[phase])
	}
	return fields
}

// reportLimit logs and counts the requests in flight shortly before the context
// of a stop reaches its deadline, unless stop is called before.
func reportLimit(ctx context.Context, state *State, logger hclog.Logger) (stop func()) {
	end, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	left := time.Until(end)
	go func() {
		if pause.For(ctx, left-min(limitNotice, left/limitNoticeDivisor)) {
			reportHeld(state.requests.Held(time.Now()), logger)
		}
	}()
	return cancel
}

// reportHeld counts the requests that a stop cuts, and logs the oldest of them.
func reportHeld(held []backlog.Held, logger hclog.Logger) {
	stopsAtLimit.Inc()
	stopCutRequests.Add(len(held))
	listed := []listedRequest{}
	for _, r := range held[:min(len(held), maxListedRequests)] {
		listed = append(listed, listedRequest{ID: r.ID, Service: r.Service, Instance: r.Instance, Phase: r.Phase, AgeMs: r.Age.Milliseconds()})
	}
	logger.Warn("stop limit reached", append(heldFields(held), "requests", listed)...)
}
