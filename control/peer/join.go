package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// joinInterval is the interval at which a replica outside the group requests to join.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one join request.
	joinTimeout = 500 * time.Millisecond
	// maxJoinRedirects bounds the requests of one attempt that follow a redirect to the leader.
	maxJoinRedirects = 2
)

var errNoLeader = errors.New("this control host knows no leader")

// Join registers a replica that requests to join the group, also on a replica that may lead
// later. If this replica is not the leader, the response names the leader's address.
func (s *Service) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	n := s.node
	v := n.view.Load()
	response := &wire.JoinResponse{}
	for _, m := range v.members {
		response.Addresses = append(response.Addresses, m.GetAddress())
	}
	if !v.isLeader {
		response.LeaderAddress = v.leaderAddress
	}
	group := n.store.Identity().GetGroup()
	if group == "" {
		return response, nil
	}
	if req.GetGroup() != "" && req.GetGroup() != group {
		n.logger.Warn("rejected join request of a replica of another group", "address", req.GetAddress(), "group", req.GetGroup())
		return response, nil
	}
	queued := n.do(ctx, func() { n.reconciler.addCandidate(req, time.Now()) })
	response.Registered = queued && v.isLeader
	return response, nil
}

// joinGroup requests to join while this replica is not a member or is out of
// contact with the leader.
func (n *Node) joinGroup(ctx context.Context) {
	memberAddresses := slices.Clone(n.cfg.Seeds())
	for pause.For(ctx, joinInterval) {
		if n.isConnectedMember() {
			continue
		}
		candidates := append(n.cfg.Seeds(), memberAddresses...)
		for _, m := range n.view.Load().members {
			candidates = append(candidates, m.GetAddress())
		}
		slices.Sort(candidates)
		if addresses := n.requestJoinAnywhere(ctx, slices.Compact(candidates)); len(addresses) > 0 {
			memberAddresses = addresses
		}
	}
}

// requestJoinAnywhere asks all addresses at once, as some of them may be lost, and returns the
// addresses of the members from the first host that took the request.
func (n *Node) requestJoinAnywhere(ctx context.Context, candidates []string) []string {
	taken := make(chan []string, len(candidates))
	var group sync.WaitGroup
	for _, address := range candidates {
		if address == n.cfg.Address {
			continue
		}
		group.Go(func() {
			addresses, err := n.requestJoin(ctx, address)
			if err != nil {
				n.logger.Debug("join request not taken", "address", address, "error", err)
				return
			}
			taken <- addresses
		})
	}
	go func() {
		group.Wait()
		close(taken)
	}()
	return <-taken
}

// isConnectedMember reports whether this replica is a member and is in contact
// with a leader or a quorum.
func (n *Node) isConnectedMember() bool {
	v := n.view.Load()
	return v.address != "" && (v.quorum || v.leader != "")
}

// requestJoin sends a join request to an address and follows redirects to the
// leader. It returns the addresses of the members. A host that belongs to no group, or
// knows no leader, is an error: another one may know more.
func (n *Node) requestJoin(ctx context.Context, address string) ([]string, error) {
	self := n.store.Identity()
	req := &wire.JoinRequest{Name: n.cfg.Name, Address: n.cfg.Address, Identity: self.GetIdentity(), Group: self.GetGroup()}
	for range maxJoinRedirects {
		response, err := n.sendJoin(ctx, address, req)
		if err != nil {
			return nil, err
		}
		if response.GetRegistered() {
			return response.GetAddresses(), nil
		}
		if response.GetLeaderAddress() == "" {
			return nil, errNoLeader
		}
		address = response.GetLeaderAddress()
	}
	return nil, errors.New("control hosts disagree about the leader")
}

func (n *Node) sendJoin(ctx context.Context, address string, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return n.clients.quorum(address).Join(ctx, req)
}
