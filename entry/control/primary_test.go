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

// fakePrimary is a fake control host that reports instance revisions when it is
// the primary.
type fakePrimary struct {
	wire.Rules
	zone string

	mu       sync.Mutex
	noQuorum bool
	hung     bool // accepts calls but never responds
	version  uint64
	revision uint64
	polls    int // that requested instances
	changed  chan struct{}
}

func (h *fakePrimary) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *fakePrimary) instancePolls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.polls
}

// Watch responds to a newer version or revision, at the end of the wait, or when
// the quorum is lost.
func (h *fakePrimary) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	h.mu.Lock()
	if h.hung {
		h.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer h.mu.Unlock()
	if req.GetInstances() {
		h.polls++
	}
	hadNoQuorum := h.noQuorum
	for waited := false; !waited; {
		newer := h.version > req.GetKnownVersion()
		if newer || req.GetInstances() && (h.noQuorum && !hadNoQuorum || h.revision > req.GetKnownInstances()) {
			break
		}
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
		}
		h.mu.Lock()
		for h.hung && ctx.Err() == nil {
			h.mu.Unlock()
			<-ctx.Done()
			h.mu.Lock()
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	// A response with a newer version is unconfirmed, with or without a quorum.
	response := &wire.WatchResponse{Zone: h.zone, Quorum: !h.noQuorum, Stale: h.noQuorum || h.version > req.GetKnownVersion()}
	response.Version = versionOf(int(h.version))
	if h.version > req.GetKnownVersion() {
		response.Text = versionText(int(h.version))
	}
	if req.GetInstances() {
		response.InstancesRevision = h.revision
	}
	return response, nil
}

type fakePrimaries map[string]*fakePrimary

// RoundTrip dispatches a call to the fake host named in its URL.
func (g fakePrimaries) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	wire.NewRulesServer(g[r.URL.Host]).ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// fakeMembership records the newest revision.
type fakeMembership struct {
	mu       sync.Mutex
	revision uint64
}

func (m *fakeMembership) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

func (m *fakeMembership) Apply(_ []*wire.Instance, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = max(m.revision, revision)
}

func (*fakeMembership) AddSuspects([]*wire.Suspect) {}

func (*fakeMembership) SetActiveHosts(int) {}

func (*fakeMembership) EvacuationsRevision() uint64 { return 0 }

func (*fakeMembership) ApplyEvacuations([]string, uint64) {}

// watchPrimary runs a watch of three hosts, of which c1 is in the watch's zone.
func watchPrimary(t *testing.T, m *fakeMembership) (g fakePrimaries, stop func()) {
	g, _, stop = watchPrimaryOver(t, m, func(next http.RoundTripper) http.RoundTripper { return next })
	return g, stop
}

// watchPrimaryOver is watchPrimary with a transport of its own.
func watchPrimaryOver(t *testing.T, m *fakeMembership, transport func(next http.RoundTripper) http.RoundTripper) (g fakePrimaries, table *rules.Table, stop func()) {
	g, table = fakePrimaries{}, rules.NewTable()
	for name, zone := range map[string]string{"c0": "a", "c1": "b", "c2": "c"} {
		g[name] = &fakePrimary{zone: zone, version: 1, revision: 1, changed: make(chan struct{})}
	}
	w := control.NewWatch(func() []string { return []string{"c0", "c1", "c2"} }, &http.Client{Transport: transport(g)}, table,
		func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger(),
		control.WithMembership(m), control.WithZone("b"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return g, table, func() {
		cancel()
		<-done
	}
}

// drainDeadline is the time within which a drain must reach every entry host.
const drainDeadline = 2 * time.Second

// Guards against a drain that arrives late because the primary hangs: the watch
// must elect another primary within the deadline.
func TestDrainIsAppliedInTimeWhenThePrimaryHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m fakeMembership
		g, stop := watchPrimary(t, &m)
		defer stop()
		time.Sleep(10 * time.Second)
		g["c1"].set(func() { g["c1"].hung = true })
		for _, name := range []string{"c0", "c2"} { // the drain is committed without it
			g[name].set(func() { g[name].revision = 2 })
		}
		time.Sleep(drainDeadline - 200*time.Millisecond) // control hosts batch changes for 150 ms
		must.Eq(t, 2, m.Revision())
	})
}

// Guards against a primary without a quorum that keeps its role, also after
// unconfirmed responses from every control host.
func TestAnotherHostBecomesPrimaryWhenThePrimaryLosesItsQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m fakeMembership
		g, stop := watchPrimary(t, &m)
		defer stop()
		time.Sleep(10 * time.Second)
		before := g["c1"].instancePolls()
		time.Sleep(30 * time.Second)
		must.Greater(t, before, g["c1"].instancePolls(), must.Sprint("the control host in the local zone is primary"))
		for _, name := range []string{"c0", "c2", "c1"} { // each response is unconfirmed
			g[name].set(func() { g[name].version = 2 })
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		g["c1"].set(func() { g["c1"].noQuorum = true })
		time.Sleep(time.Second)
		g["c0"].set(func() { g["c0"].revision = 2 })
		g["c2"].set(func() { g["c2"].revision = 2 })
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 2, m.Revision())
	})
}
