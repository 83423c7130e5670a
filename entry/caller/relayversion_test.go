package caller_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/outcome"
	"github.com/snipebeam/snipebeam/world/wire"
)

// addedRoute is in no version but the newer ones.
const addedRoute = "route added GET: deadline 5s # Marie: added later\n"

// withVersion puts a newer version of the rules in force.
func withVersion(t *testing.T, number uint64) option {
	return func(cfg *caller.Config) {
		_, err := cfg.Table.Advance(&wire.Version{Number: number}, ruleText+addedRoute)
		must.NoError(t, err)
	}
}

// Guards against a relayed request that is served by an older version of the rules than the
// one by which it was admitted, at a service that it may not go to any more.
func TestRelayedRequestIsNotServedByAnOlderVersion(t *testing.T) {
	var ran atomic.Int32
	instances := []string{httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		echo(w, r)
	})}
	older := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims()))
	same := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), withVersion(t, 2)))
	newer := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), withVersion(t, 3)))
	for _, test := range []struct {
		hosts  []string
		served bool
	}{
		{[]string{older}, false},
		{[]string{older, older, older, same}, false}, // beyond maxRelays
		{[]string{same}, true},
		{[]string{newer}, true},
		{[]string{older, same}, true},
		{[]string{older, older, newer}, true},
	} {
		for _, known := range []bool{false, true} { // whether the host knows that it reaches no instance
			var cut atomic.Bool
			cut.Store(true)
			relay := &fakeRelay{hosts: test.hosts}
			relay.isolated.Store(known)
			host := newEntry(t, viewsOf(instances...), newClaims(), withVersion(t, 2), withRelay(relay), func(cfg *caller.Config) {
				cfg.Pool = upstream.NewPool(upstream.WithDial(partitionedFrom(&cut, instances...)))
			})
			address := serveEntry(t, host)
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				before := ran.Load()
				got := call(t, method, address, "/x", "")
				if test.served {
					must.Eq(t, http.StatusOK, got.status, must.Sprint(test.hosts, known, method))
					continue
				}
				must.Eq(t, http.StatusServiceUnavailable, got.status, must.Sprint(test.hosts, known, method))
				must.Eq(t, outcome.NotRun, got.outcome())
				must.Eq(t, outcome.NotReady, got.reason())
				must.Eq(t, before, ran.Load())
			}
		}
	}
}

// Guards against 404 for a route that is in force, from a host that has not learned of it.
func TestRelayedRequestOfARouteThatTheHostDoesNotKnowIsNotRefusedAsUnknown(t *testing.T) {
	older := serveEntry(t, newEntry(t, viewsOf(), newClaims()))
	relay := &fakeRelay{hosts: []string{older}}
	relay.isolated.Store(true)
	host := serveEntry(t, newEntry(t, viewsOf(), newClaims(), withVersion(t, 2), withRelay(relay)))
	got := call(t, http.MethodGet, host, "/x", "", caller.ServiceHeader, "added")
	must.Eq(t, outcome.NotRun, got.outcome())
	must.Eq(t, outcome.NotReady, got.reason())
}

// Guards against a caller that gains anything by the header of a relayed request: a number
// above that of the rules in force gets the request refused as not run, any other value has no
// effect, and instances get none of them.
func TestForgedVersionOfARelayedRequestOnlyRefusesIt(t *testing.T) {
	instances := []string{httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(caller.RelayedVersionHeader))
	})}
	keyed := func(cfg *caller.Config) { cfg.PeerKeys = key.New("secret") }
	other := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), withVersion(t, 2)))
	relay := &fakeRelay{hosts: []string{other}}
	relay.isolated.Store(true)
	for name, address := range map[string]string{
		"direct":  other,
		"keyed":   serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), withVersion(t, 2), keyed)),
		"relayed": serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), withVersion(t, 2), withRelay(relay))),
	} {
		for value, served := range map[string]bool{
			"": true, "0": true, "1": true, "2": true, "-1": true, "x": true, "3x": true, " ": true,
			"3": false, "18446744073709551615": false, "99999999999999999999999": false,
		} {
			for _, with := range [][]string{nil, {caller.RelayedForHeader, "studio"}} {
				if name == "relayed" && with != nil {
					continue // the host itself refuses requests of others
				}
				got := call(t, http.MethodGet, address, "/x", "", append(with, caller.RelayedVersionHeader, value)...)
				if served {
					must.Eq(t, outcome.Answer, got.outcome(), must.Sprintf("%s: %q", name, value))
					must.Eq(t, "", got.body)
					continue
				}
				must.Eq(t, outcome.NotRun, got.outcome(), must.Sprintf("%s: %q", name, value))
				must.Eq(t, outcome.NotReady, got.reason())
			}
		}
	}
}
