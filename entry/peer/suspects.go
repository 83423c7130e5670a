package peer

import (
	"context"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Suspects takes fingerprints of requests that were in flight at lost
// instances, and returns those that this host knows.
func (s *service) Suspects(_ context.Context, req *wire.SuspectsRequest) (*wire.SuspectsResponse, error) {
	book := s.node.cfg.Suspects
	if book == nil {
		return &wire.SuspectsResponse{}, nil
	}
	book.Merge(req.GetSuspects(), time.Now())
	return &wire.SuspectsResponse{Suspects: book.Suspects()}, nil
}

// BroadcastSuspects sends suspects to every other entry host and waits until all
// have taken them or the context ends.
func (n *Node) BroadcastSuspects(ctx context.Context, suspects []*wire.Suspect) {
	var group sync.WaitGroup
	for _, entry := range n.Entries() {
		if entry.GetName() == n.cfg.Self.GetName() {
			continue
		}
		group.Go(func() {
			remote := wire.NewPeerProtobufClient("http://"+entry.GetPeersAddress(), n.cfg.Client)
			if _, err := remote.Suspects(ctx, &wire.SuspectsRequest{From: n.cfg.Self.GetName(), Suspects: suspects}); err != nil {
				n.logger.Warn("suspects not passed on", "to", entry.GetName(), "error", err)
			}
		})
	}
	group.Wait()
}

var _ poison.Broadcast = (*Node)(nil).BroadcastSuspects
