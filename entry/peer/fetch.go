package peer

import (
	"context"
	"net"
	"time"

	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Timeouts of operations outside the datagram protocol.
const (
	pullTimeout  = 10 * time.Second
	checkTimeout = 500 * time.Millisecond
)

// pull fetches the full state of another host. It does nothing while another pull
// is in progress.
func (n *Node) pull(address string) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	n.work.Go(func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(n.workCtx, pullTimeout)
		defer cancel()
		if err := n.pullPages(ctx, address); err != nil {
			n.logger.Warn("cannot fetch membership", "from", address, "error", err)
		}
	})
}

func (n *Node) pullPages(ctx context.Context, address string) error {
	remote := wire.NewPeerProtobufClient("http://"+address, n.cfg.Client)
	after := ""
	for {
		page, err := remote.Announce(ctx, &wire.AnnounceRequest{From: n.cfg.Self.GetName(), After: after})
		if err != nil {
			return err
		}
		n.step(func(now time.Duration) gossip.Output {
			return n.core.Merge(now, page.GetHosts(), page.GetInstances())
		})
		if page.GetNext() <= after {
			return nil
		}
		after = page.GetNext()
	}
}

// check tests whether an instance whose owner has failed accepts a connection.
func (n *Node) check(i *wire.Instance) {
	select {
	case n.checks <- struct{}{}:
	default:
		return // the core requests the check again
	}
	n.work.Go(func() {
		defer func() { <-n.checks }()
		conn, err := (&net.Dialer{Timeout: checkTimeout}).DialContext(n.workCtx, "tcp", i.GetAddress())
		if err == nil {
			_ = conn.Close()
		}
		n.step(func(now time.Duration) gossip.Output { return n.core.ReportCheck(now, i, err == nil) })
	})
}

// Service returns the Twirp service Peer.
func (n *Node) Service() wire.Peer { return &twirpService{node: n} }

type twirpService struct {
	node *Node
}

// Announce returns one page of the membership state of this host.
func (s *twirpService) Announce(_ context.Context, req *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	hosts, instances, next := s.node.core.RecordsAfter(req.GetAfter())
	return &wire.AnnounceResponse{Hosts: hosts, Instances: instances, Next: next}, nil
}
