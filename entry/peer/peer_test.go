package peer_test

import (
	"context"
	"fmt"
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

func TestNodeRefusesAHostThatDoesNotFit(t *testing.T) {
	_, err := peer.New(peer.Config{Self: &wire.GossipHost{}, Ring: key.New()})
	must.ErrorIs(t, err, gossip.ErrHostTooLarge)
}
