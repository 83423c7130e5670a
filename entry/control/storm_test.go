package control_test

import (
	"context"
	"net/http"
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

// countingGroup counts the polls of a group.
type countingGroup struct {
	*group
	polls atomic.Int32
}

func (g *countingGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	g.polls.Add(1)
	return g.group.RoundTrip(r)
}

const (
	stormVersions = 60
	stormInterval = 60 * time.Millisecond
	stormLag      = 2 // versions that may be behind
)

// Guards against hosts and control hosts that spend their processor time on
// sending each version as often as there are control hosts, while versions arrive
// fast.
func TestVersionsInQuickSuccessionAreNotSentByEveryControlHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &countingGroup{group: newGroup()}
		g.set(func() { g.newest = 1 })
		table := rules.NewTable()
		watch := control.NewWatch(func() []string { return []string{"c0", "c1", "c2"} }, &http.Client{Transport: g}, table,
			func() *wire.HostReport { return &wire.HostReport{} }, func([]*wire.GossipHost) {}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(time.Second)
		before := g.polls.Load()
		for range stormVersions {
			g.set(func() { g.newest++ })
			time.Sleep(stormInterval)
			must.GreaterEq(t, uint64(g.newest-stormLag), table.Current().Number())
		}
		polls := g.polls.Load() - before
		t.Logf("%d polls for %d versions", polls, stormVersions)
		must.LessEq(t, stormVersions*controlHosts/2, int(polls))
	})
}

// Guards against versions that are late because the control host that was first
// the last time hangs.
func TestVersionIsTakenInTimeWhenTheFastestControlHostHangsDuringAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		g.set(func() { g.newest = 1 })
		w := startWatch(t.Context(), g)
		defer w.stop()
		time.Sleep(time.Second)
		for n := range stormVersions {
			g.set(func() {
				for at, h := range g.hosts {
					h.state = current
					if at == n%controlHosts {
						h.state = hung
					}
				}
				g.newest++
			})
			started := time.Now()
			for w.table.Current().Number() != uint64(g.newest) {
				must.Less(t, applyBound/4, time.Since(started))
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(stormInterval)
		}
	})
}
