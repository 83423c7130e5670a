package registry_test

import (
	"bytes"
	"math"
	"testing"

	"github.com/hashicorp/go-hclog"
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

// A record that no host can follow ended or stopped the readers of the list in a system of this kind.
func TestOddRecordIsSkippedWithItsPlaceAndAllOthersAreFollowed(t *testing.T) {
	for name, odd := range map[string]*wire.Instance{
		"port out of range": {Id: "odd", Service: "shop", Address: "10.0.0.9:99999"},
		"port 0":            {Id: "odd", Service: "shop", Address: "10.0.0.9:0"},
		"no port":           {Id: "odd", Service: "shop", Address: "10.0.0.9"},
		"a name":            {Id: "odd", Service: "shop", Address: "host.example:80"},
		"too many slots":    {Id: "odd", Service: "shop", Address: "10.0.0.9:80", Slots: math.MaxUint32},
		"too many links":    {Id: "odd", Service: "shop", Address: "10.0.0.9:80", MaxLinks: math.MaxUint32},
		"no service":        {Id: "odd", Address: "10.0.0.9:80"},
		"no id":             {Service: "shop", Address: "10.0.0.9:80"},
		"empty":             {},
	} {
		views := &route.Views{}
		var log bytes.Buffer
		m := registry.NewMembership(registry.New(views), poison.NewTracker(), registry.WithLogger(hclog.New(&hclog.LoggerOptions{Output: &log})))
		odd.Revision = 2
		m.Apply([]*wire.Instance{
			{Id: "first", Service: "shop", Address: "10.0.0.1:80", Revision: 1}, odd, {Id: "last", Service: "shop", Address: "10.0.0.2:80", Revision: 3},
		}, 3)
		must.Len(t, 2, views.Load("shop").Members(), must.Sprint(name))
		must.StrContains(t, log.String(), "instances[1]", must.Sprint(name))
		m.Apply([]*wire.Instance{{Id: "odd", Service: "shop", Address: "10.0.0.9:80", Revision: 4}}, 4)
		must.Len(t, 3, views.Load("shop").Members(), must.Sprint(name))
	}
}
