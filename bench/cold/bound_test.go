package cold_test

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

// event is what happens to a site at a time.
type event struct {
	at     time.Duration
	kind   int
	n      int
	length time.Duration
}

// Kinds of events.
const (
	coldSnap  = iota // some instances turn cold
	allCold          // all instances turn cold
	newLeader        // the former one believes for some time that it leads
	cutHosts         // some hosts reach no control host for some time
	allCut           // no host does
	hostRestart
	kinds
)

// Guards against a cold instance that gets from all hosts together more than it tolerates,
// through changes of the leader, hosts that reach no control host, and hosts that start.
func TestBoundOfColdInstancesHoldsThroughFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		shape := shape{
			hosts: rapid.IntRange(1, 30).Draw(rt, "hosts"), zones: 2, instances: rapid.IntRange(1, 6).Draw(rt, "instances"),
			rate: rapid.Float64Range(5, 200).Draw(rt, "rate"), work: 20 * time.Millisecond, coldRate: rapid.Float64Range(0.5, 5).Draw(rt, "coldRate"),
		}
		const duration = 20 * time.Second
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				at: time.Duration(rapid.IntRange(0, int(duration/time.Millisecond)).Draw(rt, "at")) * time.Millisecond, kind: rapid.IntRange(0, kinds-1).Draw(rt, "kind"),
				n: rapid.IntRange(0, 29).Draw(rt, "n"), length: time.Duration(rapid.IntRange(0, 5000).Draw(rt, "for")) * time.Millisecond,
			}
		}), 4, 25).Draw(rt, "events")
		states := rapid.Bool().Draw(rt, "probesState")
		bound, most := 0.0, 0.0
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, shape)
			s.probesState = states
			for _, e := range events {
				time.AfterFunc(e.at, func() { s.apply(e) })
			}
			s.run(duration)
			bound, most = s.bound(), s.mostCold()
		})
		must.LessEq(rt, bound, most)
	})
}

// maxBelief bounds how long a leader that lost its quorum believes that it leads, in these
// tests: two election time-outs, less the time in which its successor is elected.
const maxBelief = 2 * time.Second

func (s *site) apply(e event) {
	switch e.kind {
	case coldSnap:
		s.chill(s.instances[e.n%len(s.instances):]...)
	case allCold:
		s.chill(s.instances...)
	case newLeader:
		s.lead(e.n%len(s.replicas), min(e.length, maxBelief))
	case cutHosts, allCut:
		s.mu.Lock()
		defer s.mu.Unlock()
		cut := s.hosts[e.n%len(s.hosts):]
		if e.kind == allCut {
			cut = s.hosts
		}
		for _, h := range cut {
			h.cut = true
			time.AfterFunc(e.length, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				h.cut = false
			})
		}
	case hostRestart:
		s.restart(e.n % len(s.hosts))
	}
}
