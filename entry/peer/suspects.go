package peer

import (
	"context"
	"sync"
	"time"

	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Suspects merges fingerprints of requests that were in flight at failed instances,
// and returns those that this host tracks.
func (s *twirpService) Suspects(_ context.Context, req *wire.SuspectsRequest) (*wire.SuspectsResponse, error) {
	tracker := s.node.cfg.Suspects
	if tracker == nil {
		return &wire.SuspectsResponse{}, nil
	}
	tracker.Merge(req.GetSuspects(), time.Now())
	return &wire.SuspectsResponse{Suspects: tracker.Suspects()}, nil
}

// BroadcastSuspects sends suspects to every other entry host. It returns when all
// calls have finished or the context is cancelled.
func (n *Node) BroadcastSuspects(ctx context.Context, suspects []*wire.Suspect) {
	var group sync.WaitGroup
	for _, entry := range n.Entries() {
		if entry.GetName() == n.cfg.Self.GetName() {
			continue
		}
		group.Go(func() {
			remote := wire.NewPeerProtobufClient("http://"+entry.GetPeersAddress(), n.cfg.Client)
			if _, err := remote.Suspects(ctx, &wire.SuspectsRequest{From: n.cfg.Self.GetName(), Suspects: suspects}); err != nil {
				n.logger.Warn("cannot send suspects", "to", entry.GetName(), "error", err)
			}
		})
	}
	group.Wait()
}

var _ poison.Broadcast = (*Node)(nil).BroadcastSuspects
