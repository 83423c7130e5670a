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

// tellingHost is a control host that tells of instances.
type tellingHost struct {
	wire.Rules
	zone string

	mu       sync.Mutex
	cut      bool
	frozen   bool // answers nothing, and refuses nothing
	version  uint64
	revision uint64
	polls    int // that asked for instances
	changed  chan struct{}
}

func (h *tellingHost) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *tellingHost) asked() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.polls
}

// Watch answers with news, at the end of the wait, or when the quorum is lost.
func (h *tellingHost) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	h.mu.Lock()
	if h.frozen {
		h.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer h.mu.Unlock()
	if req.GetInstances() {
		h.polls++
	}
	wasCut := h.cut
	for waited := false; !waited; {
		newer := h.version > req.GetKnownVersion()
		if newer || req.GetInstances() && (h.cut && !wasCut || h.revision > req.GetKnownInstances()) {
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
		for h.frozen && ctx.Err() == nil {
			h.mu.Unlock()
			<-ctx.Done()
			h.mu.Lock()
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	// An answer with a newer version is not confirmed, whether or not there is a quorum.
	response := &wire.WatchResponse{Zone: h.zone, Quorum: !h.cut, Stale: h.cut || h.version > req.GetKnownVersion()}
	response.Version = versionOf(int(h.version))
	if h.version > req.GetKnownVersion() {
		response.Text = textOf(int(h.version))
	}
	if req.GetInstances() {
		response.InstancesRevision = h.revision
	}
	return response, nil
}

type tellingGroup map[string]*tellingHost

// RoundTrip serves a call by the host that it names.
func (g tellingGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	wire.NewRulesServer(g[r.URL.Host]).ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// known follows the newest revision.
type known struct {
	mu       sync.Mutex
	revision uint64
}

func (k *known) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

func (k *known) Apply(_ []*wire.Instance, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = max(k.revision, revision)
}

func (*known) AddSuspects([]*wire.Suspect) {}

func (*known) SetActiveHosts(int) {}

// watchPrimary runs a watch of three hosts, of which c1 is in its zone.
func watchPrimary(t *testing.T, k *known) (g tellingGroup, stop func()) {
	g = tellingGroup{}
	for name, zone := range map[string]string{"c0": "a", "c1": "b", "c2": "c"} {
		g[name] = &tellingHost{zone: zone, version: 1, revision: 1, changed: make(chan struct{})}
	}
	w := control.NewWatch(func() []string { return []string{"c0", "c1", "c2"} }, &http.Client{Transport: g}, rules.NewTable(),
		func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger(),
		control.WithMembership(k), control.WithZone("b"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return g, func() {
		cancel()
		<-done
	}
}

// drainKnown is the time in which a drain must be known to every entry host.
const drainKnown = 2 * time.Second

func TestADrainIsKnownInTimeThoughThePrimaryStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var k known
		g, stop := watchPrimary(t, &k)
		defer stop()
		time.Sleep(10 * time.Second)
		g["c1"].set(func() { g["c1"].frozen = true })
		for _, name := range []string{"c0", "c2"} { // the drain is committed without it
			g[name].set(func() { g[name].revision = 2 })
		}
		time.Sleep(drainKnown - 200*time.Millisecond) // changes are gathered for 150 ms
		must.Eq(t, 2, k.Revision())
	})
}

func TestAnotherHostTellsOfInstancesOnceThePrimaryIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var k known
		g, stop := watchPrimary(t, &k)
		defer stop()
		time.Sleep(10 * time.Second)
		before := g["c1"].asked()
		time.Sleep(30 * time.Second)
		must.Greater(t, before, g["c1"].asked(), must.Sprint("the host of the own zone tells"))
		for _, name := range []string{"c0", "c2", "c1"} { // each answer is one that nobody confirmed
			g[name].set(func() { g[name].version = 2 })
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		g["c1"].set(func() { g["c1"].cut = true })
		time.Sleep(time.Second)
		g["c0"].set(func() { g["c0"].revision = 2 })
		g["c2"].set(func() { g["c2"].revision = 2 })
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 2, k.Revision())
	})
}
