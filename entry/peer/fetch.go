package peer

import (
	"context"
	"net"
	"time"

	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Times of what is done beside the protocol.
const (
	pullTimeout  = 10 * time.Second
	checkTimeout = 500 * time.Millisecond
)

// pull fetches the whole state of another host, one fetch at a time.
func (n *Node) pull(ctx context.Context, address string) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	n.work.Go(func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		if err := n.pullPages(ctx, address); err != nil {
			n.logger.Warn("membership not fetched", "from", address, "error", err)
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
		n.step(ctx, func(now time.Duration) gossip.Output {
			return n.core.Merge(now, page.GetHosts(), page.GetInstances())
		})
		if page.GetNext() <= after {
			return nil
		}
		after = page.GetNext()
	}
}

// check tries to connect to an instance whose owner is lost.
func (n *Node) check(ctx context.Context, one *wire.Instance) {
	select {
	case n.checks <- struct{}{}:
	default:
		return // the core asks again
	}
	n.work.Go(func() {
		defer func() { <-n.checks }()
		conn, err := (&net.Dialer{Timeout: checkTimeout}).DialContext(ctx, "tcp", one.GetAddress())
		if err == nil {
			_ = conn.Close()
		}
		n.step(ctx, func(now time.Duration) gossip.Output { return n.core.ReportCheck(now, one, err == nil) })
	})
}

// Service returns the Twirp service Peer.
func (n *Node) Service() wire.Peer { return &twirpService{node: n} }

type twirpService struct {
	node *Node
}

// Announce returns one page of what this host knows.
func (s *twirpService) Announce(_ context.Context, req *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	hosts, instances, next := s.node.core.RecordsAfter(req.GetAfter())
	return &wire.AnnounceResponse{Hosts: hosts, Instances: instances, Next: next}, nil
}
