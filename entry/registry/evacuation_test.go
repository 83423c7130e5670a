package registry_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/wire"
)

func recordIn(zone, id, service string, revision uint64) *wire.Instance {
	return &wire.Instance{Id: id, Service: service, Address: "10.0.0.1:8" + id, Zone: zone, Incarnation: 1, Revision: revision}
}

// inUse returns the instances of a service that may get requests.
func inUse(views *route.Views, service string) (ids []string) {
	for _, m := range views.Load(service).Members() {
		if m.State(0) != route.Draining {
			ids = append(ids, string(m.Instance().ID()))
		}
	}
	return ids
}

func TestInstancesOfEvacuatedZonesAreDraining(t *testing.T) {
	views := &route.Views{}
	m := registry.NewMembership(registry.New(views), poison.NewTracker())
	m.ApplyEvacuations([]string{"a"}, 1) // before the first instances, as after a restart
	m.Apply([]*wire.Instance{recordIn("a", "1", "shop", 1), recordIn("b", "2", "shop", 2), recordIn("b", "3", "till", 3)}, 3)
	must.Eq(t, []string{"2"}, inUse(views, "shop"))
	load := views.Load("shop").Members()[0].Load()

	m.ApplyEvacuations([]string{"a", "b"}, 2)
	must.SliceEmpty(t, inUse(views, "shop"))
	must.SliceEmpty(t, inUse(views, "till"))
	m.Apply([]*wire.Instance{recordIn("b", "4", "shop", 4)}, 4) // a new instance of an evacuated zone
	must.SliceEmpty(t, inUse(views, "shop"))

	m.ApplyEvacuations(nil, 3)
	must.Eq(t, []string{"1", "2", "4"}, inUse(views, "shop"))
	must.True(t, load == views.Load("shop").Members()[0].Load(), must.Sprint("an instance keeps its load data"))
}

// Guards against a control host that lags behind another and brings back zones that are in
// use, or ends an evacuation.
func TestOlderRevisionChangesNoEvacuation(t *testing.T) {
	views := &route.Views{}
	m := registry.NewMembership(registry.New(views), poison.NewTracker())
	m.Apply([]*wire.Instance{recordIn("a", "1", "shop", 1), recordIn("b", "2", "shop", 2)}, 2)
	m.ApplyEvacuations([]string{"a"}, 5)
	for _, older := range []uint64{0, 4, 5} {
		m.ApplyEvacuations(nil, older)
		m.ApplyEvacuations([]string{"b"}, older)
	}
	must.Eq(t, []string{"2"}, inUse(views, "shop"))
	must.Eq(t, 5, m.EvacuationsRevision())
}

// An instance that moves to another zone, or announces itself anew, follows the zone it is in.
func TestInstanceFollowsTheZoneOfItsRecord(t *testing.T) {
	views := &route.Views{}
	m := registry.NewMembership(registry.New(views), poison.NewTracker())
	m.ApplyEvacuations([]string{"a"}, 1)
	m.Apply([]*wire.Instance{recordIn("a", "1", "shop", 1)}, 1)
	must.SliceEmpty(t, inUse(views, "shop"))
	m.Apply([]*wire.Instance{recordIn("b", "1", "shop", 2)}, 2)
	must.Eq(t, []string{"1"}, inUse(views, "shop"))
	m.Apply([]*wire.Instance{recordIn("a", "1", "shop", 3)}, 3)
	must.SliceEmpty(t, inUse(views, "shop"))
}
