// Package peer speaks to the other entry hosts. A Node drives the membership
// protocol over UDP on the port of the peers listener; a host that starts
// fetches the whole state over Twirp.
//
// Usage:
//
//	node, err := peer.New(peer.Config{Self: self, Registry: reg, ...})
//	mux.Handle(wire.PeerPathPrefix, wire.NewPeerServer(node.Service()))
//	err = node.Listen()
//	go node.Run(ctx)
//	err = node.Hear(announcement)
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Config is what a node works with.
type Config struct {
	Self           *wire.GossipHost // without an epoch
	Registry       *registry.Registry
	State          func() string // what this host says of its own state
	Ring           *key.Ring
	Suspects       *poison.Tracker // nil: none are kept
	Client         *http.Client    // for the other hosts' Twirp services
	BytesPerSecond int
	Logger         hclog.Logger
}

// Node is one host's part of the membership.
type Node struct {
	cfg     Config
	codec   *gossip.Codec
	logger  hclog.Logger
	started time.Time
	conn    *net.UDPConn
	entries atomic.Pointer[[]*wire.HostReport]
	pulling atomic.Bool
	checks  chan struct{} // bounds connections that try an instance
	work    sync.WaitGroup

	mu   sync.Mutex
	core *gossip.Core
}

// maxChecks is how many instances are tried at the same time.
const maxChecks = 16

// New returns a node that has not opened its socket.
func New(cfg Config) (*Node, error) {
	started := time.Now()
	cfg.Self.Epoch = uint64(started.UnixNano())
	if err := gossip.CheckHost(cfg.Self); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n := &Node{
		cfg: cfg, codec: gossip.NewCodec(cfg.Ring), logger: cfg.Logger.Named("peer"), started: started,
		checks: make(chan struct{}, maxChecks),
		core:   gossip.New(cfg.Self, random, gossip.WithRate(cfg.BytesPerSecond)),
	}
	n.publishHosts()
	n.exportSizes()
	return n, nil
}

// Listen opens the socket.
func (n *Node) Listen() error {
	address, err := net.ResolveUDPAddr("udp", n.cfg.Self.GetPeersAddress())
	if err != nil {
		return errors.Wrap(err, "read the peers address")
	}
	n.conn, err = net.ListenUDP("udp", address)
	return errors.Wrap(err, "listen for datagrams of peers")
}

// Run drives the protocol until the context ends, and then tells the others
// that this host leaves.
func (n *Node) Run(ctx context.Context) {
	n.work.Go(n.read)
	ticker := time.NewTicker(gossip.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		n.step(ctx, func(now time.Duration) gossip.Output { return n.core.SetState(now, n.cfg.State()) })
		n.step(ctx, n.core.Tick)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	n.step(ctx, n.core.Leave)
	_ = n.conn.Close()
	n.work.Wait()
}

// step gives the core one input and does what it asks for.
func (n *Node) step(ctx context.Context, input func(now time.Duration) gossip.Output) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.perform(ctx, input(time.Since(n.started)))
}

func (n *Node) perform(ctx context.Context, out gossip.Output) {
	n.publishInstances(out.Instances)
	if out.HostsChanged {
		n.publishHosts()
	}
	for _, send := range out.Sends {
		n.send(send)
	}
	if out.Pull != "" {
		n.pull(ctx, out.Pull)
	}
	for _, one := range out.Checks {
		n.check(ctx, one)
	}
}

func (n *Node) publishInstances(ids []string) {
	changes := make([]registry.Change, 0, len(ids))
	for _, id := range ids {
		if n.core.Usable(id) {
			changes = append(changes, registry.Announced(n.core.Instance(id)))
			continue
		}
		changes = append(changes, registry.Removed(id))
	}
	n.cfg.Registry.Update(changes)
}

func (n *Node) publishHosts() {
	hosts := n.core.Hosts()
	entries := make([]*wire.HostReport, 0, len(hosts))
	for _, h := range hosts {
		entries = append(entries, &wire.HostReport{
			Name: h.GetName(), Zone: h.GetZone(), Role: "entry", State: h.GetState(), CallersAddress: h.GetCallersAddress(),
			PeersAddress: h.GetPeersAddress(), PlatformAddress: h.GetPlatformAddress(),
		})
	}
	n.entries.Store(&entries)
}

// Entries returns the entry hosts that count as alive, this one included, in
// order of names.
func (n *Node) Entries() []*wire.HostReport { return *n.entries.Load() }

// Join introduces hosts that the control hosts named.
func (n *Node) Join(seeds []*wire.GossipHost) {
	n.step(context.Background(), func(now time.Duration) gossip.Output { return n.core.Join(now, seeds) })
}

// Announce takes an instance's announcement.
func (n *Node) Announce(m *wire.Instance) (err error) {
	n.step(context.Background(), func(now time.Duration) gossip.Output {
		var out gossip.Output
		out, err = n.core.Announce(now, m)
		return out
	})
	return err
}

// Withdraw takes an instance's word that it leaves; incarnation 0 means the one
// that is known.
func (n *Node) Withdraw(id string, incarnation uint64) (err error) {
	n.step(context.Background(), func(now time.Duration) gossip.Output {
		var out gossip.Output
		out, err = n.core.Withdraw(now, id, incarnation)
		return out
	})
	return err
}
