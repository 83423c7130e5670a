package registry_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/wire"
)

func TestMembershipAppliesEachRecordOnceInOrder(t *testing.T) {
	views := &route.Views{}
	m := registry.NewMembership(registry.New(views), poison.NewTracker())
	record := func(id string, revision uint64, gone bool) *wire.Instance {
		return &wire.Instance{Id: id, Service: "shop", Address: "10.0.0.1:80", Incarnation: 1, Revision: revision, Gone: gone}
	}
	m.Apply([]*wire.Instance{record("a", 1, false), record("b", 2, false)}, 2)
	must.Len(t, 2, views.Load("shop").Members())
	m.Apply([]*wire.Instance{record("a", 3, true)}, 3)
	must.Len(t, 1, views.Load("shop").Members())
	m.Apply([]*wire.Instance{record("a", 1, false)}, 2) // from a control host that lags behind
	must.Len(t, 1, views.Load("shop").Members())
	must.Eq(t, 3, m.Revision())
}
