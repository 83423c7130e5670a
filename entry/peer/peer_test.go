package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/entry/peer"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
)

// start runs a node, with its Twirp service on the same loopback port.
func start(t *testing.T, name string, keys ...string) (*peer.Node, *registry.Registry, *wire.GossipHost) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	self := &wire.GossipHost{Name: name, PeersAddress: listener.Addr().String(), PlatformAddress: name + ":1"}
	reg, ring := registry.New(&route.Views{}), key.New(keys...)
	node, err := peer.New(peer.Config{
		Self: self, Registry: reg, State: func() string { return "ready" }, Ring: ring, Client: ring.Client(http.DefaultClient),
		BytesPerSecond: gossip.DefaultRate, Logger: hclog.NewNullLogger(),
	})
	must.NoError(t, err)
	must.NoError(t, node.Listen())
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: ring.Authenticate(wire.NewPeerServer(node.Service()))}}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); node.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; server.Close() })
	return node, reg, self
}

// eventually polls until the condition holds or the test times out.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

func TestNodesLearnHostsAndInstancesFromEachOther(t *testing.T) {
	first, _, seed := start(t, "e1", "new", "old")
	for n := range 600 { // more than a page
		must.NoError(t, first.Announce(&wire.Instance{Id: fmt.Sprintf("i%d", n), Service: "s", Address: "127.0.0.1:1"}))
	}
	second, secondReg, _ := start(t, "e2", "old", "new")
	third, thirdReg, _ := start(t, "e3", "new", "old")
	otherKey, otherKeyReg, _ := start(t, "e4", "other")
	for _, node := range []*peer.Node{second, third, otherKey} {
		node.Join([]*wire.GossipHost{seed})
	}
	eventually(func() bool { return secondReg.Len() == 600 && thirdReg.Len() == 600 })
	eventually(func() bool { return len(first.Entries()) == 3 && len(third.Entries()) == 3 })
	must.NoError(t, second.Withdraw("i7", 0))
	eventually(func() bool { return thirdReg.Len() == 599 })
	must.Len(t, 1, otherKey.Entries())
	// The join may carry a record of e2 without its state; "ready" follows in a later version.
	eventually(func() bool { return slices.Contains(first.Alternates("i1"), "e2:1") })
	must.Zero(t, otherKeyReg.Len())
}

// hangTimeout only ends a test that hangs; no result depends on its value.
const hangTimeout = 5 * time.Second

func TestHungHostDoesNotHoldAStop(t *testing.T) {
	asked := make(chan struct{}, 1)
	hung := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(hung.Close)
	ring := key.New("one")
	node, err := peer.New(peer.Config{
		Self: &wire.GossipHost{Name: "e1", PeersAddress: "127.0.0.1:0", PlatformAddress: "e1:1"}, Registry: registry.New(&route.Views{}),
		State: func() string { return "ready" }, Ring: ring, Client: ring.Client(http.DefaultClient),
		BytesPerSecond: gossip.DefaultRate, Logger: hclog.NewNullLogger(),
	})
	must.NoError(t, err)
	must.NoError(t, node.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); node.Run(ctx) }()
	node.Join([]*wire.GossipHost{{Name: "e2", PeersAddress: hung.Listener.Addr().String()}})
	<-asked
	cancel()
	select {
	case <-done:
	case <-time.After(hangTimeout):
		must.Unreachable(t, must.Sprint("the stop waits for the hung host"))
	}
}

func TestNodeRefusesAHostThatDoesNotFit(t *testing.T) {
	_, err := peer.New(peer.Config{Self: &wire.GossipHost{}, Ring: key.New()})
	must.ErrorIs(t, err, gossip.ErrHostTooLarge)
}
