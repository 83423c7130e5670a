package command_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/snipebeam/command"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// fakeEvacuations is a control host that knows the zone "a".
type fakeEvacuations struct {
	orders []*wire.EvacuationOrder
	stale  bool
}

func (f *fakeEvacuations) Order(_ context.Context, order *wire.EvacuationOrder) (*wire.EvacuationResult, error) {
	if order.GetZone() != "a" {
		return nil, twirp.NotFoundError("no host or instance is in zone " + order.GetZone())
	}
	f.orders = append(f.orders, order)
	return &wire.EvacuationResult{Changed: len(f.orders) == 1, Revision: 1}, nil
}

func (f *fakeEvacuations) List(context.Context, *wire.EvacuationsRequest) (*wire.EvacuationsResponse, error) {
	all := []*wire.Evacuation{{Zone: "a", Author: "Marie", Reason: "cooling fails", Since: 1}}
	return &wire.EvacuationsResponse{Evacuations: all, Revision: 1, Stale: f.stale, AsOf: 1}, nil
}

func TestEvacuateOrdersAndLists(t *testing.T) {
	f := &fakeEvacuations{}
	address := serve(t, wire.NewEvacuationsServer(f))
	out, err := run(t, "evacuate", "start", "a", "-m", "cooling fails", "--author", "Marie", "--control", refusingAddress(t)+","+address)
	must.NoError(t, err)
	must.StrContains(t, out, "zone a is evacuated")
	must.Eq(t, "Marie", f.orders[0].GetAuthor())
	must.Eq(t, "cooling fails", f.orders[0].GetReason())
	must.False(t, f.orders[0].GetEnd())
	out, err = run(t, "evacuate", "start", "a", "-m", "again", "--control", address)
	must.NoError(t, err)
	must.StrContains(t, out, "was evacuated already")
	out, err = run(t, "evacuate", "finish", "a", "-m", "repaired", "--control", address, "-o", "json")
	must.NoError(t, err)
	var result map[string]any
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	must.Eq(t, map[string]any{"zone": "a", "evacuated": false, "changed": false, "revision": 1.0}, result)
	must.True(t, f.orders[2].GetEnd())
	_, err = run(t, "evacuate", "start", "elsewhere", "-m", "x", "--control", address)
	must.Eq(t, command.ExitFailed, command.ExitCode(err))
	must.StrContains(t, err.Error(), "no host or instance is in zone elsewhere")
}

func TestListOfEvacuationsSaysWhetherItIsStale(t *testing.T) {
	f := &fakeEvacuations{}
	address := serve(t, wire.NewEvacuationsServer(f))
	out, err := run(t, "evacuate", "list", "--control", address)
	must.NoError(t, err)
	must.True(t, strings.Contains(out, "a") && strings.Contains(out, "Marie") && strings.Contains(out, "cooling fails"))
	f.stale = true
	_, err = run(t, "evacuate", "list", "--control", address)
	must.Eq(t, command.ExitStale, command.ExitCode(err))
}
