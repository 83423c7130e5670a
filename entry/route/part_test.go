package route_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
)

func TestAHostUsesItsPartFirstAndOthersWhileThatIsBusy(t *testing.T) {
	var members []route.Member
	for n := range 40 {
		id := instance.ID(fmt.Sprintf("i-%02d", n))
		members = append(members, route.NewMember(instance.New(id, service, "", instance.WithSlots(3)), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{service: route.NewView(service, members)})
	r := route.NewRouter(views, route.NewAdaptive(route.WithFill(0.8)),
		route.WithParts(func(string) route.Part { return route.Part{At: 3, Of: 20} }))
	chosen := map[instance.ID]int{}
	for n := range 6 {
		ticket, _, err := r.Offer(query(), func(*route.Ticket, error) {})
		must.NoError(t, err)
		chosen[ticket.Instance().ID()]++
		if n == 3 {
			must.Eq(t, map[instance.ID]int{"i-03": 2, "i-23": 2}, chosen)
		}
	}
	must.Greater(t, 2, len(chosen))
	must.True(t, route.Part{}.Owns(7))
	must.False(t, route.Part{At: 1, Of: 2}.Owns(4))
}
