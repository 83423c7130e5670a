package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/wire"
)

func losses(tracker *poison.Tracker) int {
	n := 0
	for _, suspect := range tracker.Suspects() {
		n += len(suspect.GetLosses())
	}
	return n
}

// An instance that starts again at the same address accepts connections at each look, so that
// its loss was never known. Its next announcement tells.
func TestAnnouncementOfTheNextIncarnationTellsOfTheLoss(t *testing.T) {
	for name, next := range map[string]*wire.Instance{
		"the same identifier": {Id: "a", Service: "shop", Address: "10.0.0.1:80", Incarnation: 8, Revision: 2},
		"the same address":    {Id: "b", Service: "shop", Address: "10.0.0.1:80", Incarnation: 8, Revision: 2},
	} {
		for _, announcedFirst := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				tracker := poison.NewTracker()
				m := registry.NewMembership(registry.New(&route.Views{}, registry.WithEnded(tracker.InstanceEnded)), tracker)
				m.Apply([]*wire.Instance{{Id: "a", Service: "shop", Address: "10.0.0.1:80", Incarnation: 7, Revision: 1}}, 1)
				attempt := tracker.Begin(t.Context(), 1, "a/7")
				if announcedFirst {
					m.Apply([]*wire.Instance{next}, 2)
				}
				attempt.Interrupted()
				attempt.End()
				time.Sleep(2 * time.Second)
				if !announcedFirst {
					must.Zero(t, losses(tracker))
					m.Apply([]*wire.Instance{next}, 2)
				}
				must.One(t, losses(tracker), must.Sprint(name))
			})
		}
	}
}

// A leave is no loss: the instance may serve for a while yet.
func TestInstanceThatLeavesIsNotLost(t *testing.T) {
	tracker := poison.NewTracker()
	m := registry.NewMembership(registry.New(&route.Views{}, registry.WithEnded(tracker.InstanceEnded)), tracker)
	m.Apply([]*wire.Instance{{Id: "a", Service: "shop", Address: "10.0.0.1:80", Incarnation: 7, Revision: 1}}, 1)
	attempt := tracker.Begin(t.Context(), 1, "a/7")
	attempt.Interrupted()
	m.Apply([]*wire.Instance{{Id: "a", Incarnation: 7, Gone: true, Left: true, Revision: 2}}, 2)
	must.Zero(t, losses(tracker))
}
