package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/wire"
)

// countingHost counts the long polls that are pending at a control host, and does not
// answer a call without a wait.
type countingHost struct {
	wire.Rules
	delay time.Duration // of a response beyond the wait

	mu      sync.Mutex
	pending int
	most    int
}

func (h *countingHost) count(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending += n
	h.most = max(h.most, h.pending)
}

func (h *countingHost) mostPending() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.most
}

func (h *countingHost) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	if req.GetWaitMs() == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.count(1)
	defer h.count(-1)
	select {
	case <-time.After(time.Duration(req.GetWaitMs())*time.Millisecond + h.delay):
	case <-ctx.Done():
	}
	return &wire.WatchResponse{Version: versionOf(1), Text: versionText(1), Quorum: true}, ctx.Err()
}

// RoundTrip makes countingHost a transport.
func (h *countingHost) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	wire.NewRulesServer(h).ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// Guards against polls that pile up at a control host which misses one report after
// another, such as those of instances that crash.
func TestPollsDoNotPileUpAtAHostThatMissesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := &countingHost{}
		w := control.NewWatch(func() []string { return []string{"c:1"} }, &http.Client{Transport: host}, rules.NewTable(),
			func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		for range 100 {
			go w.Report(t.Context())
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		must.LessEq(t, 3, host.mostPending())
		cancel()
		<-done
	})
}

// Guards against a host that never takes callers: its only control host answers the
// polls of a primary later than one that another could replace may.
func TestHostIsConfirmedByItsOnlyControlHostThoughThatIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host, table := &countingHost{delay: 1500 * time.Millisecond}, rules.NewTable()
		w := control.NewWatch(func() []string { return []string{"c:1"} }, &http.Client{Transport: host}, table,
			func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger(),
			control.WithMembership(&fakeMembership{}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(20 * time.Second)
		must.True(t, table.Confirmed())
		cancel()
		<-done
	})
}
