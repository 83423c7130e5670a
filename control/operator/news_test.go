package operator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// poll sends a poll that waits for news, and returns its response and how long it took.
func poll(t *testing.T, watch func(*wire.WatchRequest) (*wire.WatchResponse, error), req *wire.WatchRequest) (*wire.WatchResponse, time.Duration) {
	t.Helper()
	started := time.Now()
	req.Report = &wire.HostReport{Name: "waiting", Role: placement.RoleEntry, State: placement.StateReady}
	req.Instances, req.WaitMs, req.KnownVersion = true, 3000, 1
	response, err := watch(req)
	must.NoError(t, err)
	return response, time.Since(started)
}

// Guards against hosts that hear of a rate limit, or of hosts that reach no instance, only
// with their next poll.
func TestPollReturnsWithNewsOfOtherHosts(t *testing.T) {
	for name, report := range map[string]*wire.HostReport{
		"rate limit": {Name: "other", Role: placement.RoleEntry, State: placement.StateReady, RateLimits: []*wire.RateLimit{{Instance: "x", PerSecond: 2}}},
		"isolated":   {Name: "other", Role: placement.RoleEntry, State: placement.StateIsolated},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rules, _ := newRules()
				watch := func(req *wire.WatchRequest) (*wire.WatchResponse, error) { return rules.Watch(t.Context(), req) }
				go func() {
					time.Sleep(time.Second)
					_, err := rules.Watch(t.Context(), &wire.WatchRequest{Report: report, KnownVersion: 1})
					must.NoError(t, err)
				}()
				response, took := poll(t, watch, &wire.WatchRequest{RateLimits: true})
				must.Less(t, 2*time.Second, took)
				must.Len(t, len(report.GetRateLimits()), response.GetRateLimits())
				known := &wire.WatchRequest{RateLimits: true, KnownRateLimits: response.GetRateLimitsRevision(), KnownIsolations: response.GetIsolations()}
				again, took := poll(t, watch, known)
				must.Eq(t, 3*time.Second, took.Round(100*time.Millisecond))
				must.SliceEmpty(t, again.GetRateLimits())
			})
		})
	}
}
