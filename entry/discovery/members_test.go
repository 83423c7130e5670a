package discovery_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/discovery"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/wire"
)

// members is the membership of one host, without a network.
type members struct {
	core *gossip.Core
}

func newMembers() *members {
	return &members{core: gossip.New(&wire.GossipHost{Name: "e1", Epoch: 1}, rand.New(rand.NewPCG(1, 1)))}
}

func (m *members) Announce(i *wire.Instance) error {
	_, err := m.core.Announce(0, i)
	return err
}

func (m *members) Withdraw(id string, incarnation uint64) error {
	_, err := m.core.Withdraw(0, id, incarnation)
	return err
}

func (m *members) Alternates(string) []string { return []string{"127.0.0.1:7301"} }

func TestAnnouncementsOfAnOldIncarnationAreRefused(t *testing.T) {
	f := newFixture()
	announce := func(incarnation string) int {
		return f.call(http.MethodPut, "/v1/instances/a-1", `{"service":"a","address":"127.0.0.1:9001","incarnation":`+incarnation+`}`).Code
	}
	must.Eq(t, http.StatusOK, announce("7"))
	must.Eq(t, http.StatusConflict, announce("6"))
	must.Eq(t, discovery.OldIncarnation, refusal(t, f.call(http.MethodDelete, "/v1/instances/a-1?incarnation=6", "")))
	must.Len(t, 1, f.members.core.Instances())
	must.Eq(t, discovery.Malformed, refusal(t, f.call(http.MethodDelete, "/v1/instances/a-1?incarnation=x", "")))
	w := f.call(http.MethodDelete, "/v1/instances/a-1?incarnation=7", "")
	must.Eq(t, http.StatusOK, w.Code)
	var lease discovery.Lease
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &lease))
	must.Eq(t, []string{"127.0.0.1:7301"}, lease.Alternates)
	must.SliceEmpty(t, f.members.core.Instances())
	must.Eq(t, http.StatusConflict, announce("7"))
	must.Eq(t, http.StatusOK, announce("8"))
}
