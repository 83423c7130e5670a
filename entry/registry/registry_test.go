package registry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/wire"
)

func announced(id, service, address string, incarnation uint64) registry.Change {
	return registry.Announced(&wire.Instance{Id: id, Service: service, Address: address, Incarnation: incarnation})
}

func TestAChangeRebuildsItsServiceAlone(t *testing.T) {
	views := &route.Views{}
	reg := registry.New(views)
	var changes []registry.Change
	for n := range 3900 {
		changes = append(changes, announced(fmt.Sprintf("i%d", n), fmt.Sprintf("s%d", n%140), "a", 1))
	}
	reg.Update(changes)
	must.Eq(t, 3900, reg.Len())
	changed, unchanged := views.Load("s1"), views.Load("s2")
	reg.Update([]registry.Change{announced("i1", "s1", "b", 1)})
	must.True(t, views.Load("s2") == unchanged)
	must.True(t, views.Load("s1") != changed)
	before := views.All()
	reg.Update([]registry.Change{announced("i1", "s1", "b", 1), registry.Removed("unknown")})
	must.True(t, views.Load("s1") == before["s1"])
	reg.Update([]registry.Change{announced("i1", "s2", "b", 1)})
	must.Len(t, 27, views.Load("s1").Members())
	must.Len(t, 29, views.Load("s2").Members())
}

func TestLoadIsKeptAcrossAddressesAndAbsencesButNotIncarnations(t *testing.T) {
	views := &route.Views{}
	reg := registry.New(views)
	router := route.NewRouter(views, route.NewLeastLoaded())
	inFlight := func() int { return views.Load("s").Members()[0].Load().InFlight() }
	reg.Update([]registry.Change{announced("i", "s", "a", 1)})
	ticket, err := router.Acquire(context.Background(), route.NewQuery("s", contract.New(), "caller", ""))
	must.NoError(t, err)
	reg.Update([]registry.Change{announced("i", "s", "b", 1)})
	must.Eq(t, 1, inFlight())
	reg.Update([]registry.Change{registry.Removed("i")})
	must.Nil(t, views.Load("s"))
	reg.Update([]registry.Change{announced("i", "s", "b", 1)})
	must.Eq(t, 1, inFlight())
	reg.Update([]registry.Change{announced("i", "s", "b", 2)})
	must.Eq(t, 0, inFlight())
	ticket.Finish(route.Report{})
}

// Guards against a second cold time that is taken for the first as both are of the same length,
// and against a service that is rebuilt when only the number of the announcement changes.
func TestSequenceChangesTheRecordOfAColdInstanceAlone(t *testing.T) {
	views := &route.Views{}
	reg := registry.New(views)
	update := func(sequence uint64, cold bool, left time.Duration) *route.View {
		reg.Update([]registry.Change{registry.Announced(&wire.Instance{Id: "i", Service: "s", Incarnation: 1, Sequence: sequence, Cold: cold, WarmupLeftNs: int64(left)})})
		return views.Load("s")
	}
	first := update(1, true, 3*time.Second)
	must.True(t, update(1, true, 3*time.Second) == first)
	again := update(2, true, 3*time.Second)
	must.True(t, again != first)
	untimed := update(3, true, 0)
	must.True(t, update(4, true, 0) == untimed)
	warm := update(5, false, 0)
	must.True(t, update(6, false, 0) == warm)
}
