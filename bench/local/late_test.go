package local_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/local"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/pause"
)

// Guards against requests that come late in a planned stop, on connections from before it,
// are passed on, and end without the instance's response when the process ends.
func TestRequestsThatComeLateInAPlannedStopAreServedOrNotPassedOn(t *testing.T) {
	const (
		requests = 120
		interval = 50 * time.Millisecond
		work     = 400 * time.Millisecond
	)
	var received sync.Map // requests that the instance has read, by path
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Store(r.URL.Path, true)
		pause.For(r.Context(), work)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(instance.Close)
	control := local.StartControl(t, nil)
	submitText(t, control, http.DefaultClient, stopRules)
	host := local.StartEntry(t, control, local.Settings{"host.stopLimitSeconds": "6", "host.leaveSeconds": "2.5"})
	local.Ready(t, host)
	t.Parallel()
	must.NoError(t, announceSlots(t.Context(), http.DefaultClient, host.Platform, instance.Listener.Addr().String(), requests))
	go func() { // its lease is to last as long as the stop
		for pause.For(t.Context(), time.Second) {
			_ = announceSlots(t.Context(), http.DefaultClient, host.Platform, instance.Listener.Addr().String(), requests)
		}
	}()
	var callers []*openCaller
	for range requests {
		callers = append(callers, connect(t, host.Callers))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- host.Stop() }()
	for n, c := range callers {
		_, _ = fmt.Fprintf(c.conn, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", n) // fails once the process has ended
		time.Sleep(interval)
	}
	must.NoError(t, <-stopped)
	served := 0
	for n, c := range callers {
		got := c.received()
		if _, passedOn := received.Load(fmt.Sprintf("/%d", n)); !passedOn {
			continue
		}
		must.NoError(t, got.err, must.Sprintf("request %d", n))
		must.Eq(t, string(outcome.Answer), got.header.Get(outcome.Header), must.Sprintf("request %d", n))
		served++
	}
	must.Positive(t, served)
}
