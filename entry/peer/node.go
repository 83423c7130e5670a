// Package peer communicates with the other entry hosts. A Node drives the
// membership protocol over UDP on the port of the peers listener. A starting host
// fetches the full state over Twirp.
//
// Usage:
//
//	node, err := peer.New(peer.Config{Self: self, Registry: reg, ...})
//	mux.Handle(wire.PeerPathPrefix, wire.NewPeerServer(node.Service()))
//	err = node.Listen()
//	go node.Run(ctx)
//	err = node.Announce(announcement)
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
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Config holds the dependencies of a node.
type Config struct {
	Self           *wire.GossipHost // without an epoch
	Registry       *registry.Registry
	State          func() string // current state of this host
	Ring           *key.Ring
	Suspects       *poison.Tracker // nil: suspects are not exchanged
	Client         *http.Client    // for the other hosts' Twirp services
	BytesPerSecond int
	Logger         hclog.Logger
}

// Node is one host's membership node. It does the I/O for a gossip.Core.
type Node struct {
	cfg     Config
	codec   *gossip.Codec
	logger  hclog.Logger
	started time.Time
	conn    *net.UDPConn
	entries atomic.Pointer[[]*wire.HostReport]
	pulling atomic.Bool
	checks  chan struct{} // semaphore of concurrent instance checks
	work    sync.WaitGroup
	workCtx context.Context // of calls to other hosts and instances
	endWork context.CancelFunc

	mu   sync.Mutex
	core *gossip.Core
}

// maxChecks bounds the concurrent instance checks.
const maxChecks = 16

// New returns a node. Listen opens its socket.
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
	n.workCtx, n.endWork = context.WithCancel(context.Background())
	n.publishHosts()
	n.exportSizes()
	return n, nil
}

// Listen opens the socket.
func (n *Node) Listen() error {
	address, err := net.ResolveUDPAddr("udp", n.cfg.Self.GetPeersAddress())
	if err != nil {
		return errors.Wrap(err, "resolve peers address")
	}
	n.conn, err = net.ListenUDP("udp", address)
	return errors.Wrap(err, "listen for peer datagrams")
}

// Run drives the protocol until the context is cancelled, and then announces to the
// others that this host leaves.
func (n *Node) Run(ctx context.Context) {
	n.work.Go(n.read)
	ticker := time.NewTicker(gossip.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		n.step(func(now time.Duration) gossip.Output { return n.core.SetState(now, n.cfg.State()) })
		n.step(n.core.Tick)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	n.step(n.core.Leave)
	_ = n.conn.Close()
	n.endWork()
	n.work.Wait()
}

// step passes one input to the core and performs its output.
func (n *Node) step(input func(now time.Duration) gossip.Output) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.perform(input(time.Since(n.started)))
}

func (n *Node) perform(out gossip.Output) {
	n.publishInstances(out.Instances)
	if out.HostsChanged {
		n.publishHosts()
	}
	for _, send := range out.Sends {
		n.send(send)
	}
	if out.Pull != "" {
		n.pull(out.Pull)
	}
	for _, i := range out.Checks {
		n.check(i)
	}
}

func (n *Node) publishInstances(ids []string) {
	changes := make([]registry.Change, 0, len(ids))
	for _, id := range ids {
		if n.core.Usable(id) {
			record := n.core.Instance(id)
			if err := instance.Check(record); err != nil {
				n.logger.Warn("record of an instance is skipped", "instance", id, "from", record.GetHeardBy(), "error", err)
				continue
			}
			changes = append(changes, registry.Announced(record))
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

// Entries returns the entry hosts considered alive, including this one, sorted by
// name.
func (n *Node) Entries() []*wire.HostReport { return *n.entries.Load() }

// Join adds seed hosts received from the control hosts.
func (n *Node) Join(seeds []*wire.GossipHost) {
	n.step(func(now time.Duration) gossip.Output { return n.core.Join(now, seeds) })
}

// Announce applies an instance's announcement.
func (n *Node) Announce(m *wire.Instance) (err error) {
	n.step(func(now time.Duration) gossip.Output {
		var out gossip.Output
		out, err = n.core.Announce(now, m)
		return out
	})
	return err
}

// Withdraw removes an instance at its own request. Incarnation 0 stands for the
// current incarnation.
func (n *Node) Withdraw(id string, incarnation uint64) (err error) {
	n.step(func(now time.Duration) gossip.Output {
		var out gossip.Output
		out, err = n.core.Withdraw(now, id, incarnation)
		return out
	})
	return err
}
