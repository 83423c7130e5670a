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
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// evacuatingHost is a control host whose response to polls for instances is set by the test.
type evacuatingHost struct {
	wire.Rules

	mu       sync.Mutex
	response *wire.WatchResponse
	lost     bool // does not respond
	known    []uint64
}

func (h *evacuatingHost) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *evacuatingHost) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.WatchResponse, error) {
	pause.For(ctx, 100*time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return nil, context.DeadlineExceeded
	}
	response := &wire.WatchResponse{Quorum: true, Version: versionOf(1), Text: versionText(1)}
	if req.GetInstances() {
		h.known = append(h.known, req.GetKnownEvacuations())
		r := h.response
		response.Stale, response.EvacuatedZones, response.EvacuationsRevision = r.GetStale(), r.GetEvacuatedZones(), r.GetEvacuationsRevision()
		response.Instances, response.InstancesRevision = r.GetInstances(), r.GetInstancesRevision()
	}
	return response, nil
}

// recordingMembership records what is applied, in its order.
type recordingMembership struct {
	fakeMembership

	evacuations sync.Mutex
	known       uint64
	zones       []string
	applied     []string
}

func (m *recordingMembership) EvacuationsRevision() uint64 {
	m.evacuations.Lock()
	defer m.evacuations.Unlock()
	return m.known
}

func (m *recordingMembership) ApplyEvacuations(zones []string, revision uint64) {
	m.evacuations.Lock()
	defer m.evacuations.Unlock()
	if revision > m.known {
		m.known, m.zones, m.applied = revision, zones, append(m.applied, "zones")
	}
}

func (m *recordingMembership) Apply(instances []*wire.Instance, revision uint64) {
	m.evacuations.Lock()
	if revision > m.Revision() {
		m.applied = append(m.applied, "instances")
	}
	m.evacuations.Unlock()
	m.fakeMembership.Apply(instances, revision)
}

func (m *recordingMembership) state() (zones, applied []string) {
	m.evacuations.Lock()
	defer m.evacuations.Unlock()
	return m.zones, m.applied
}

type evacuatingHosts map[string]*evacuatingHost

// RoundTrip dispatches a call to the fake host named in its URL.
func (g evacuatingHosts) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	wire.NewRulesServer(g[r.URL.Host]).ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// watchEvacuations runs a watch of c0, the primary, and c1.
func watchEvacuations(t *testing.T, m control.Membership) (c0, c1 *evacuatingHost, stop func()) {
	c0, c1 = &evacuatingHost{}, &evacuatingHost{}
	g := evacuatingHosts{"c0": c0, "c1": c1}
	w := control.NewWatch(func() []string { return []string{"c0", "c1"} }, &http.Client{Transport: g}, rules.NewTable(),
		func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger(), control.WithMembership(m))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return c0, c1, func() {
		cancel()
		<-done
	}
}

func evacuated(stale bool, revision uint64, zones ...string) *wire.WatchResponse {
	return &wire.WatchResponse{
		Stale: stale, EvacuatedZones: zones, EvacuationsRevision: revision,
		Instances: []*wire.Instance{{Id: "i", Revision: 1}}, InstancesRevision: 1,
	}
}

// Guards against an entry host that starts and sends requests to an evacuated zone before it
// knows of the evacuation, from a response that no quorum confirmed.
func TestFirstInstancesComeConfirmedAndAfterTheZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &recordingMembership{}
		c0, c1, stop := watchEvacuations(t, m)
		defer stop()
		for _, h := range []*evacuatingHost{c0, c1} {
			h.set(func() { h.response = evacuated(true, 1) }) // lags behind: the evacuation has revision 2
		}
		time.Sleep(3 * time.Second)
		_, applied := m.state()
		must.SliceEmpty(t, applied)
		for _, h := range []*evacuatingHost{c0, c1} {
			h.set(func() { h.response = evacuated(false, 2, "a") })
		}
		time.Sleep(3 * time.Second)
		zones, applied := m.state()
		must.Eq(t, []string{"zones", "instances"}, applied)
		must.Eq(t, []string{"a"}, zones)
	})
}

// Guards against an entry host that asks a new primary for what it knows already, or takes
// older zones from it, and against one that forgets the zones when it loses touch.
func TestZonesStayWhenThePrimaryChangesAndWhenNoneIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &recordingMembership{}
		c0, c1, stop := watchEvacuations(t, m)
		defer stop()
		c0.set(func() { c0.response = evacuated(false, 5, "a", "b") })
		c1.set(func() { c1.lost, c1.response = true, evacuated(true, 4, "b") }) // c0 is the primary
		time.Sleep(3 * time.Second)
		c1.set(func() { c1.lost = false })
		time.Sleep(3 * time.Second)
		c1.set(func() { must.SliceEmpty(t, c1.known) })
		c0.set(func() { c0.lost = true })
		time.Sleep(3 * time.Second)
		c1.set(func() { must.SliceNotEmpty(t, c1.known); must.Eq(t, 5, c1.known[0]) })
		zones, _ := m.state()
		must.Eq(t, []string{"a", "b"}, zones)
		c1.set(func() { c1.lost = true })
		time.Sleep(time.Minute)
		zones, _ = m.state()
		must.Eq(t, []string{"a", "b"}, zones)
		c1.set(func() { c1.lost, c1.response = false, evacuated(true, 6, "b") }) // not confirmed, but newer
		time.Sleep(3 * time.Second)
		zones, _ = m.state()
		must.Eq(t, []string{"b"}, zones)
	})
}
