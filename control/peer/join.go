package peer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// joinInterval is how often a replica outside the group asks to be taken in.
	joinInterval = 500 * time.Millisecond
	// joinLimit bounds one question of that kind.
	joinLimit = 500 * time.Millisecond
	// joinRedirects is how often a question follows the leader's address.
	joinRedirects = 2
)

// Join remembers a replica that asks to be taken into the group, if this
// replica leads, and says who does otherwise.
func (s *Service) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	n := s.node
	v := n.view.Load()
	response := &wire.JoinResponse{}
	for _, m := range v.members {
		response.Addresses = append(response.Addresses, m.GetAddress())
	}
	if !v.isLeader {
		response.LeaderAddress = v.leaderAddress
		return response, nil
	}
	if own := n.store.Identity().GetGroup(); req.GetGroup() != "" && req.GetGroup() != own {
		n.logger.Warn("a replica of another group asked to join", "address", req.GetAddress(), "group", req.GetGroup())
		return response, nil
	}
	n.do(ctx, func() { n.steward.asked(req, time.Now()) })
	return response, nil
}

// joinGroup asks to be taken in as long as this replica is outside the group
// or does not hear its leader.
func (n *Node) joinGroup(ctx context.Context) {
	known := slices.Clone(n.cfg.Seeds())
	for pause.For(ctx, joinInterval) {
		if n.belongs() {
			continue
		}
		candidates := append(n.cfg.Seeds(), known...)
		for _, m := range n.view.Load().members {
			candidates = append(candidates, m.GetAddress())
		}
		slices.Sort(candidates)
		for _, address := range slices.Compact(candidates) {
			if address == n.cfg.Address {
				continue
			}
			told, err := n.askToJoin(ctx, address)
			if err != nil {
				n.logger.Debug("a control host does not answer", "address", address, "error", err)
				continue
			}
			known = told
			break
		}
	}
}

// belongs reports whether this replica is a member and hears the leader.
func (n *Node) belongs() bool {
	v := n.view.Load()
	return v.address != "" && (v.quorum || v.leader != "")
}

// askToJoin asks at an address and at the leader that it names. It returns the
// addresses of the members.
func (n *Node) askToJoin(ctx context.Context, address string) ([]string, error) {
	own := n.store.Identity()
	req := &wire.JoinRequest{Name: n.cfg.Name, Address: n.cfg.Address, Identity: own.GetIdentity(), Group: own.GetGroup()}
	for range joinRedirects {
		response, err := n.askOnce(ctx, address, req)
		if err != nil {
			return nil, err
		}
		if response.GetLeaderAddress() == "" {
			return response.GetAddresses(), nil
		}
		address = response.GetLeaderAddress()
	}
	return nil, errors.New("the control hosts do not agree who leads")
}

func (n *Node) askOnce(ctx context.Context, address string, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	return n.clients.quorum(address).Join(ctx, req)
}
