package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/standin/upstream"
)

const onceHeader = "Idempotency-Key"

func newServer(crash func()) *upstream.Server {
	return upstream.New(upstream.Config{
		ID: "a-1", Service: "a", Slots: 2, ServiceTime: 10 * time.Millisecond, ProbeCost: 6 * time.Millisecond,
		IdempotencyHeader: onceHeader, MaxQueue: 3, Crash: crash,
	})
}

// call serves one request and returns the answer with the time that it took.
func call(ctx context.Context, s *upstream.Server, path string, headers ...string) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("body"))
	for n := 0; n < len(headers); n += 2 {
		r.Header.Set(headers[n], headers[n+1])
	}
	w := httptest.NewRecorder()
	started := time.Now()
	s.ServeHTTP(w, r)
	return w, time.Since(started)
}

func TestRequestsWaitForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(nil)
		took := make(chan time.Duration, 4)
		for range 4 {
			go func() {
				_, d := call(t.Context(), s, "/")
				took <- d
			}()
		}
		must.Eq(t, 10*time.Millisecond, <-took)
		must.Eq(t, 10*time.Millisecond, <-took)
		must.Eq(t, 20*time.Millisecond, <-took)
		must.Eq(t, 20*time.Millisecond, <-took)
	})
}

func TestDeadlinesAndCancellationAreHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(nil)
		w, took := call(t.Context(), s, "/", "Snipebeam-Deadline-Ms", "4", onceHeader, "late")
		must.Eq(t, http.StatusGatewayTimeout, w.Code)
		must.Eq(t, 4*time.Millisecond, took)
		for range 2 {
			go call(t.Context(), s, "/")
		}
		synctest.Wait()
		w, _ = call(t.Context(), s, "/", "Snipebeam-Deadline-Ms", "4", onceHeader, "waiting")
		must.Eq(t, "deadline", w.Header().Get("Snipebeam-Not-Started"))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Millisecond)
		defer cancel()
		_, took = call(ctx, s, "/", onceHeader, "gone")
		must.Eq(t, 3*time.Millisecond, took)
		must.Eq(t, map[string]int{"late": 1}, s.Executions())
		time.Sleep(time.Second)
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes := 0
		s := newServer(func() { crashes++ })
		lie := 7
		s.SetFaults(upstream.Faults{Slowdown: 3, LoadOverride: &lie})
		w, took := call(t.Context(), s, "/")
		must.Eq(t, 30*time.Millisecond, took)
		must.Eq(t, "7", w.Header().Get("Snipebeam-Load"))
		s.SetFaults(upstream.Faults{ColdSeconds: 10})
		must.True(t, s.Cold())
		_, took = call(t.Context(), s, "/")
		must.Eq(t, 50*time.Millisecond, took)
		time.Sleep(10 * time.Second)
		must.False(t, s.Cold())
		s.SetFaults(upstream.Faults{Shed: true, Draining: true})
		w, _ = call(t.Context(), s, "/", onceHeader, "k")
		must.Eq(t, "shed", w.Header().Get("Snipebeam-Not-Started"))
		must.True(t, s.Draining())
		s.SetFaults(upstream.Faults{FailFast: true})
		w, took = call(t.Context(), s, "/", onceHeader, "k")
		must.Eq(t, http.StatusInternalServerError, w.Code)
		must.Eq(t, 0, took)
		must.MapEmpty(t, s.Executions())
		s.SetFaults(upstream.Faults{CrashOn: "/poison"})
		call(t.Context(), s, "/fine")
		must.Eq(t, 0, crashes)
		call(t.Context(), s, "/poison")
		must.Eq(t, 1, crashes)
		r := httptest.NewRequest(http.MethodPut, "/standin/faults", strings.NewReader(`{"crash":true}`))
		s.ServeHTTP(httptest.NewRecorder(), r)
		must.Eq(t, 2, crashes)
	})
}

func TestAFrozenReportKeepsTheOldLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(nil)
		s.SetFaults(upstream.Faults{FrozenReport: true})
		for range 2 {
			go call(t.Context(), s, "/")
		}
		synctest.Wait()
		w, took := call(t.Context(), s, "/standin/probe")
		must.Eq(t, "0", w.Header().Get("Snipebeam-Load"))
		must.Eq(t, 16*time.Millisecond, took)
	})
}

func TestOnlyOldLinksGoSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(nil)
		old := upstream.ConnContext(t.Context(), nil)
		time.Sleep(time.Millisecond)
		s.SetFaults(upstream.Faults{SilentLinks: true})
		young := upstream.ConnContext(t.Context(), nil)
		w, _ := call(young, s, "/")
		must.Eq(t, http.StatusOK, w.Code)
		limited, cancel := context.WithTimeout(old, time.Minute)
		defer cancel()
		w, took := call(limited, s, "/")
		must.Eq(t, time.Minute, took)
		must.Eq(t, "", w.Body.String())
	})
}

func TestAFullQueueSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(nil)
		for range 5 {
			go call(t.Context(), s, "/")
		}
		synctest.Wait()
		w, _ := call(t.Context(), s, "/")
		must.Eq(t, "queue-full", w.Header().Get("Snipebeam-Not-Started"))
		time.Sleep(time.Second)
	})
}
