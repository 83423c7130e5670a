package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// zone is a zone with one instance that counts what it gets.
type zone struct {
	name     string
	requests atomic.Int32
	member   route.Member
}

// newZones returns zones with one instance each that answers with the zone's name.
func newZones(t *testing.T, slots int, names ...string) (zones []*zone) {
	for _, name := range names {
		z := &zone{name: name}
		address := httpInstance(t, func(w http.ResponseWriter, _ *http.Request) {
			z.requests.Add(1)
			_, _ = io.WriteString(w, z.name)
		})
		i := instance.New(instance.ID("at-"+name), "shop", address, instance.WithZone(name), instance.WithSlots(slots))
		z.member = route.NewMember(i, &route.Load{})
		zones = append(zones, z)
	}
	return zones
}

// publish publishes the zones, with the named ones evacuated.
func publish(views *route.Views, zones []*zone, evacuated ...string) {
	members := make([]route.Member, 0, len(zones))
	for _, z := range zones {
		is := false
		for _, name := range evacuated {
			is = is || name == z.name
		}
		members = append(members, z.member.WithEvacuated(is))
	}
	views.Store(map[string]*route.View{"shop": route.NewView("shop", members)})
}

func TestNoRequestReachesAnEvacuatedZone(t *testing.T) {
	zones := newZones(t, 2, "a", "b")
	views := &route.Views{}
	publish(views, zones, "a")
	address := serveEntry(t, newEntry(t, views, newClaims()))
	for range 20 {
		got := call(t, http.MethodGet, address, "/x", "")
		must.Eq(t, "b", got.body)
	}
	must.Zero(t, zones[0].requests.Load())

	publish(views, zones, "a", "b")
	got := call(t, http.MethodGet, address, "/x", "")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, string(outcome.NoInstance), got.header.Get(outcome.ReasonHeader))
	must.Eq(t, 20, zones[1].requests.Load())

	publish(views, zones)
	must.Eq(t, http.StatusOK, call(t, http.MethodGet, address, "/x", "").status)
}

// Guards against a request that is sent to an instance whose zone is evacuated while the link
// to it opens: the instance was chosen, nothing was sent.
func TestRequestThatHoldsAnInstanceOfAZoneEvacuatedMeanwhileIsSentElsewhere(t *testing.T) {
	for _, request := range [][]string{{http.MethodGet, "/x"}, {http.MethodPost, "/x"}, {http.MethodPost, "/pay/x"}, {http.MethodGet, "/late/x"}} {
		zones, views := newZones(t, 2, "a", "b"), &route.Views{}
		publish(views, zones)
		var first atomic.Pointer[zone] // the one that was chosen first
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			for _, z := range zones {
				if z.member.Instance().Address() == address && first.CompareAndSwap(nil, z) {
					publish(views, zones, z.name)
				}
			}
			return conn, err
		}
		host := newEntry(t, views, newClaims(), func(cfg *caller.Config) { cfg.Pool = upstream.NewPool(upstream.WithDial(dial)) })
		got := call(t, request[0], serveEntry(t, host), request[1], "", keyHeader, "key")
		must.Eq(t, http.StatusOK, got.status, must.Sprint(request))
		must.Zero(t, first.Load().requests.Load())
		must.NotEq(t, first.Load().name, got.body)
	}
}

// withFirst returns the zones with a further one, "c", whose instance has the handler.
func withFirst(t *testing.T, zones []*zone, handler http.HandlerFunc) []*zone {
	first := &zone{name: "c"}
	i := instance.New("at-c", "shop", httpInstance(t, handler), instance.WithZone("c"), instance.WithSlots(4))
	first.member = route.NewMember(i, &route.Load{})
	return append(zones[:len(zones):len(zones)], first)
}

// Guards against a retry that goes to a zone which was evacuated after the first attempt began.
func TestRetryAvoidsAZoneEvacuatedMeanwhile(t *testing.T) {
	zones, views := newZones(t, 4, "a", "b"), &route.Views{}
	var all []*zone
	all = withFirst(t, zones, func(http.ResponseWriter, *http.Request) {
		publish(views, all, "b", "c")
		panic(http.ErrAbortHandler)
	})
	publish(views, all, "a", "b") // the first attempt goes to c
	got := call(t, http.MethodGet, serveEntry(t, newEntry(t, views, newClaims())), "/x", "")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "a", got.body)
	must.Zero(t, zones[1].requests.Load())
}

// beforeHedges is a router that calls a function before it selects an instance for a hedge.
type beforeHedges struct {
	caller.Acquirer
	call func()
}

func (r beforeHedges) Try(q route.Query) *route.Ticket {
	r.call()
	return r.Acquirer.Try(q)
}

// Guards against a second copy of a late request that goes to a zone which was evacuated after
// the first one was sent.
func TestHedgeAvoidsAZoneEvacuatedMeanwhile(t *testing.T) {
	zones, views := newZones(t, 4, "a", "b"), &route.Views{}
	slow := &hangingInstance{cancelled: make(chan struct{}, 1)}
	all := withFirst(t, zones, slow.handle("c"))
	publish(views, all, "a", "b")
	entry := serveEntry(t, newEntry(t, views, newClaims(), func(cfg *caller.Config) {
		cfg.Router = beforeHedges{Acquirer: cfg.Router, call: func() {
			if slow.hang.Load() {
				publish(views, all, "b", "c")
			}
		}}
	}))
	for range 20 { // until the usual latency has been measured
		must.Eq(t, "c", call(t, http.MethodGet, entry, "/late/x", "").body)
	}
	slow.hang.Store(true)
	must.Eq(t, "a", call(t, http.MethodGet, entry, "/late/x", "").body)
	<-slow.cancelled
	must.Eq(t, 21, slow.ran.Load())
	must.Zero(t, zones[1].requests.Load())
}

// A relayed request obeys the evacuations that the receiving host knows: the host that relays it
// may be cut off and know older ones.
func TestRelayedRequestObeysTheReceivingHost(t *testing.T) {
	zones, views := newZones(t, 2, "a", "b"), &route.Views{}
	publish(views, zones, "a")
	other := serveEntry(t, newEntry(t, views, newClaims()))
	var cut atomic.Bool
	host, relay := newPartitioned(t, &cut, []string{zones[0].member.Instance().Address(), zones[1].member.Instance().Address()}, other)
	relay.isolated.Store(true)
	address := serveEntry(t, host)
	for range 5 {
		must.Eq(t, "b", call(t, http.MethodGet, address, "/x", "").body)
	}
	publish(views, zones, "a", "b")
	must.Eq(t, http.StatusServiceUnavailable, call(t, http.MethodGet, address, "/x", "").status)
	must.Zero(t, zones[0].requests.Load())
}
