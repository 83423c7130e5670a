package control_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/knownred"
	"github.com/snipebeam/snipebeam/world/wire"
)

// applyBound is the time within which an accepted version must be in force on
// every entry host.
const applyBound = 2 * time.Second

// lateGroup delivers the responses of a group after a delay.
type lateGroup struct {
	*group
	mu    sync.Mutex
	delay time.Duration
}

func (g *lateGroup) setDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
}

func (g *lateGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	response, err := g.group.RoundTrip(r)
	select {
	case <-time.After(delay):
		return response, err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func startLateWatch(t *testing.T, g *lateGroup) *fixture {
	ctx, cancel := context.WithCancel(t.Context())
	w := &fixture{group: g.group, table: rules.NewTable(), cancel: cancel, done: make(chan struct{})}
	watch := control.NewWatch(func() []string { return []string{"c0", "c1", "c2"} }, &http.Client{Transport: g}, w.table,
		func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger())
	go func() {
		defer close(w.done)
		watch.Run(ctx)
	}()
	return w
}

// Guards against a host that has just started and takes callers with a version
// that was superseded while its first responses were on the way.
func TestHostIsNotConfirmedByAResponseThatWasLongOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &lateGroup{group: newGroup(), delay: 3 * time.Second}
		g.set(func() { g.newest = 88 })
		w := startLateWatch(t, g)
		defer w.stop()
		time.Sleep(500 * time.Millisecond)
		g.set(func() { g.newest = 94 })
		accepted := time.Now()
		g.setDelay(300 * time.Millisecond)
		for time.Since(accepted) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
			if time.Since(accepted) > applyBound && w.table.Confirmed() {
				must.Eq(t, 94, w.table.Current().Number(), must.Sprintf("%v after the version was accepted", time.Since(accepted)))
			}
		}
		must.True(t, w.table.Confirmed())
	})
}

func TestConfirmationIsNotTakenForYoungerThanItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &lateGroup{group: newGroup(), delay: 900 * time.Millisecond}
		g.set(func() { g.newest = 1 })
		started := time.Now()
		w := startLateWatch(t, g)
		defer w.stop()
		time.Sleep(time.Second)
		must.True(t, w.table.Confirmed())
		must.Eq(t, started, w.table.ConfirmedAt())
	})
}

// Guards against hosts that never take callers while every control host
// responds slowly.
func TestHostIsConfirmedAlthoughEveryResponseIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &lateGroup{group: newGroup(), delay: 1500 * time.Millisecond}
		g.set(func() { g.newest = 1 })
		w := startLateWatch(t, g)
		defer w.stop()
		time.Sleep(6 * time.Second)
		must.True(t, w.table.Confirmed())
	})
}

// Guards against a confirmed host that goes on with a version superseded longer ago
// than applyBound, because the responses of all control hosts are late.
func TestHostWithLateResponsesDoesNotServeASupersededVersion(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		g := &lateGroup{group: newGroup()}
		g.set(func() { g.newest = 88 })
		w := startLateWatch(t, g)
		defer w.stop()
		time.Sleep(4 * time.Second) // every pending poll was sent before the responses are late
		g.setDelay(2300 * time.Millisecond)
		time.Sleep(4 * time.Second)
		g.set(func() { g.newest = 94 })
		time.Sleep(applyBound + 100*time.Millisecond)
		must.True(t, w.table.Current().Number() == 94 || !w.table.Confirmed())
	})
}
