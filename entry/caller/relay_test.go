package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/outcome"
)

var errPartitioned = errors.New("partitioned")

// partitionedFrom returns a dial function that reaches all addresses but the given ones
// while cut is set.
func partitionedFrom(cut *atomic.Bool, addresses ...string) upstream.Dial {
	var d net.Dialer
	return func(ctx context.Context, address string) (net.Conn, error) {
		if cut.Load() && slices.Contains(addresses, address) {
			return nil, errPartitioned
		}
		return d.DialContext(ctx, "tcp", address)
	}
}

// echo responds with the method and the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+string(body))
}

// fakeRelay is a Relay with fixed hosts.
type fakeRelay struct {
	isolated atomic.Bool
	hosts    []string
}

func (r *fakeRelay) Isolated() bool  { return r.isolated.Load() }
func (r *fakeRelay) Hosts() []string { return r.hosts }

func (*fakeRelay) Began(string) func(bool) { return func(bool) {} }

// newPartitioned returns an entry host that reaches none of the instances, and relays to
// the given hosts.
func newPartitioned(t *testing.T, cut *atomic.Bool, instances []string, hosts ...string) (*entryHost, *fakeRelay) {
	t.Helper()
	relay := &fakeRelay{hosts: hosts}
	cut.Store(true)
	return newEntry(t, viewsOf(instances...), newClaims(), func(cfg *caller.Config) {
		cfg.Pool = upstream.NewPool(upstream.WithDial(partitionedFrom(cut, instances...)))
		cfg.Relay = relay
	}), relay
}

// Guards against callers that get nothing but failures from an entry host that is
// partitioned from all instances, while other hosts reach them.
func TestCallersOfAHostThatReachesNoInstanceAreServed(t *testing.T) {
	instances := []string{httpInstance(t, echo), httpInstance(t, echo)}
	other := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims()))
	var cut atomic.Bool
	host, relay := newPartitioned(t, &cut, instances, other)
	address := serveEntry(t, host)
	for _, known := range []bool{false, true} { // whether the host knows of the partition
		relay.isolated.Store(known)
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
			path, body := "/x", strings.Repeat("x", 100)
			if method == http.MethodGet {
				body = ""
			}
			got := call(t, method, address, path, body)
			must.Eq(t, http.StatusOK, got.status, must.Sprint(method))
			must.Eq(t, method+" "+body, got.body)
			must.Eq(t, "", got.header.Get(caller.RelayedForHeader))
		}
	}
}

// Guards against an upload that is larger than the host buffers and gets lost on the way.
func TestLargeUploadIsRelayedWhole(t *testing.T) {
	instances := []string{httpInstance(t, echo)}
	other := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims()))
	var cut atomic.Bool
	host, relay := newPartitioned(t, &cut, instances, other)
	relay.isolated.Store(true)
	body := strings.Repeat("photo", 60_000)
	got := call(t, http.MethodPost, serveEntry(t, host), "/photos/x", body)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "POST "+body, got.body)
}

// Guards against a request that goes round between hosts that reach no instance, and
// against "not run" that is not passed on.
func TestRequestIsRelayedOnceAndNotRunIsPassedOn(t *testing.T) {
	instances := []string{deadAddress(t)}
	var cut atomic.Bool
	other, otherRelay := newPartitioned(t, &cut, instances)
	otherRelay.isolated.Store(true)
	first := serveEntry(t, other)
	otherRelay.hosts = []string{first}
	host, relay := newPartitioned(t, &cut, instances, first, deadAddress(t))
	relay.isolated.Store(true)
	got := call(t, http.MethodPost, serveEntry(t, host), "/x", "body")
	must.Eq(t, outcome.NotRun, got.outcome())
}

// Guards against a request that must not run twice and is sent to another host after the
// first may have run it.
func TestRequestThatMayHaveRunIsNotRelayedAgain(t *testing.T) {
	var runs atomic.Int32
	instances := []string{httpInstance(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})}
	a, b := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims())), serveEntry(t, newEntry(t, viewsOf(instances...), newClaims()))
	var cut atomic.Bool
	host, relay := newPartitioned(t, &cut, instances, a, b)
	relay.isolated.Store(true)
	got := call(t, http.MethodPost, serveEntry(t, host), "/x", "body")
	must.Eq(t, outcome.Unknown, got.outcome())
	must.Eq(t, 1, runs.Load())
}

// Guards against a caller that takes another's identity, with which it could learn the
// outcome of a request with an idempotency key, or use up a limit.
func TestCallerOfARelayedRequestNeedsTheKeyBetweenHosts(t *testing.T) {
	callers := make(chan string, 1)
	instances := []string{httpInstance(t, func(_ http.ResponseWriter, r *http.Request) {
		callers <- r.Header.Get(caller.CallerHeader) + r.Header.Get(caller.RelayedForHeader) + r.Header.Get(caller.RelayKeyHeader)
	})}
	address := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), func(cfg *caller.Config) { cfg.PeerKeys = key.New("secret") }))
	call(t, http.MethodGet, address, "/x", "", caller.RelayedForHeader, "studio", caller.CallerHeader, "clinic")
	must.Eq(t, "clinic", <-callers)
	call(t, http.MethodGet, address, "/x", "", caller.RelayedForHeader, "studio", caller.CallerHeader, "clinic", caller.RelayKeyHeader, "secret")
	must.Eq(t, "studio", <-callers)
}

// Guards against a request that runs on more instances than its rule allows, because each
// entry host counts only its own attempts.
func TestAttemptsOfBothHostsAreWithinTheLimitOfTheRule(t *testing.T) {
	var runs atomic.Int32
	failing := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	instances := []string{httpInstance(t, failing), httpInstance(t, failing), httpInstance(t, failing)}
	address := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims()))
	got := call(t, http.MethodGet, address, "/late/x", "", caller.RelayedForHeader, "studio", caller.RelayedAttemptsHeader, "1")
	must.Eq(t, outcome.Unknown, got.outcome())
	must.One(t, runs.Load()) // the rule allows 2
}

// Guards against a request that runs on more instances than its rule allows, because each entry host
// that it is relayed to counts only its own attempts, and those of the others before it are not counted.
func TestAttemptsOfAllHostsThatRelayAreWithinTheLimitOfTheRule(t *testing.T) {
	for name, lost := range map[string]bool{"outcome of the host": false, "host is lost": true} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			failing := httpInstance(t, func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			})
			var others []string
			for range 3 {
				e := newEntry(t, viewsOf(failing), newClaims())
				others = append(others, httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
					if lost {
						runs.Add(1)
						panic(http.ErrAbortHandler)
					}
					e.handler.ServeHTTP(w, r)
				}))
			}
			relay := &fakeRelay{hosts: others}
			relay.isolated.Store(true)
			host := newEntry(t, viewsOf(failing), newClaims(), withRelay(relay))
			got := call(t, http.MethodGet, serveEntry(t, host), "/late/x", "")
			must.Eq(t, outcome.Unknown, got.outcome())
			must.Eq(t, 2, runs.Load()) // the rule allows 2
		})
	}
}

// Guards against a request that reaches instances through several other hosts, each of
// which refuses it, although the retry budget is used up.
func TestRelayAfterARefusalStaysWithinTheBudget(t *testing.T) {
	var received atomic.Int32
	refusing := httpInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.Header().Set(caller.RefusedHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	others := []string{serveEntry(t, newEntry(t, viewsOf(refusing), newClaims())), serveEntry(t, newEntry(t, viewsOf(refusing), newClaims()))}
	var cut atomic.Bool
	relay := &fakeRelay{hosts: others}
	relay.isolated.Store(true)
	cut.Store(true)
	host := newEntry(t, viewsOf(refusing), newClaims(), func(cfg *caller.Config) {
		cfg.Pool = upstream.NewPool(upstream.WithDial(partitionedFrom(&cut, refusing)))
		cfg.Relay, cfg.Budget = relay, noBudget{}
	})
	got := call(t, http.MethodGet, serveEntry(t, host), "/x", "")
	must.Eq(t, outcome.NotRun, got.outcome())
	must.Eq(t, 1, received.Load())
}

// Guards against a relayed request that earns a part of a retry at both hosts.
func TestRelayedRequestEarnsOnce(t *testing.T) {
	const requests = 20
	for _, known := range []bool{false, true} { // whether the first host knows that it reaches no instance
		instances := []string{httpInstance(t, echo)}
		terms := route.WithTerms(func(service string) *contract.Service {
			return contract.NewService(service, contract.WithRetryBudget(1), contract.WithRetryAllowance(0, time.Minute))
		})
		var routers []*route.Router
		earning := func(cfg *caller.Config) {
			router := route.NewRouter(viewsOf(instances...), route.NewLeastLoaded(), terms)
			routers = append(routers, router)
			cfg.Router, cfg.Budget = router, router
		}
		var cut atomic.Bool
		cut.Store(true)
		relay := &fakeRelay{hosts: []string{serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), earning))}}
		relay.isolated.Store(known)
		host := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), earning, func(cfg *caller.Config) {
			cfg.Pool, cfg.Relay = upstream.NewPool(upstream.WithDial(partitionedFrom(&cut, instances...))), relay
		}))
		for range requests {
			must.Eq(t, http.StatusOK, call(t, http.MethodGet, host, "/x", "").status)
		}
		allowed := 0
		for _, router := range routers {
			for router.AllowRetry(t.Context(), "shop") != "" {
				allowed++
			}
		}
		must.Eq(t, requests/2, allowed)
	}
}
