package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/wire"
)

// pausingHost is a control host that answers polls, but not a call without a wait.
type pausingHost struct {
	wire.Rules
	state atomic.Pointer[string]
}

func (h *pausingHost) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	if req.GetWaitMs() == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reported := req.GetReport().GetState()
	h.state.Store(&reported)
	select {
	case <-time.After(time.Duration(req.GetWaitMs()) * time.Millisecond):
	case <-ctx.Done():
	}
	return &wire.WatchResponse{Version: versionOf(1), Text: versionText(1)}, ctx.Err()
}

// RoundTrip makes pausingHost a transport.
func (h *pausingHost) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	wire.NewRulesServer(h).ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// A control host that misses the report of a stopping host would name it to callers
// until its pending poll ends, which is later than the host closes its listener.
func TestLostReportOfADrainIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var draining atomic.Bool
		host := &pausingHost{}
		w := control.NewWatch(func() []string { return []string{"c:1"} }, &http.Client{Transport: host}, rules.NewTable(),
			func() *wire.HostReport {
				if draining.Load() {
					return &wire.HostReport{State: "draining"}
				}
				return &wire.HostReport{State: "ready"}
			}, func([]*wire.GossipHost) {}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(10*time.Second + time.Millisecond)
		draining.Store(true)
		started := time.Now()
		w.Report(t.Context())
		synctest.Wait()
		must.Eq(t, "draining", *host.state.Load())
		must.Less(t, time.Second, time.Since(started))
		cancel()
		<-done
	})
}
