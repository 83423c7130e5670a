package caller_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

const hostRules = `
route shop=3,trial=1 at a.example /x/: deadline 5s, single # Marie: why
`

// serveHostRules serves rules that match by host name, with one instance per
// service.
func serveHostRules(t *testing.T, instances map[string]string) string {
	table := rules.NewTable()
	_, err := table.Advance(&wire.Version{Number: 1}, hostRules)
	must.NoError(t, err)
	table.Confirm(1, time.Now())
	views, all := &route.Views{}, map[string]*route.View{}
	for service, address := range instances {
		all[service] = route.NewView(service, []route.Member{route.NewMember(instance.New(instance.ID(service), service, address), &route.Load{})})
	}
	views.Store(all)
	return serveEntry(t, newEntry(t, views, nil, func(cfg *caller.Config) {
		cfg.Table, cfg.Router = table, route.NewRouter(views, route.NewLeastLoaded(), route.WithTerms(termsOf(table)))
	}))
}

func callHost(t *testing.T, entry, path string) reply {
	req := newRequest(t, http.MethodGet, entry, path, "")
	req.Host = "a.example:80"
	got, err := do(req)
	must.NoError(t, err)
	return got
}

func TestRequestsToAHostAreDividedExactlyByWeight(t *testing.T) {
	var mu sync.Mutex
	got := map[string]int{}
	count := func(service string) string {
		return httpInstance(t, func(http.ResponseWriter, *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			got[service]++
		})
	}
	entry := serveHostRules(t, map[string]string{"shop": count("shop"), "trial": count("trial")})
	for range 40 {
		must.Eq(t, http.StatusOK, callHost(t, entry, "/x/7").status)
	}
	must.Eq(t, map[string]int{"shop": 30, "trial": 10}, got)
	must.Eq(t, outcome.NoRule, callHost(t, entry, "/x").reason())
}

func TestAServiceWithoutInstancesDoesNotPassItsShareOn(t *testing.T) {
	ok := httpInstance(t, func(http.ResponseWriter, *http.Request) {})
	entry := serveHostRules(t, map[string]string{"shop": ok})
	refused := 0
	for range 40 {
		if callHost(t, entry, "/x/7").reason() == outcome.NoInstance {
			refused++
		}
	}
	must.Eq(t, 10, refused)
}
