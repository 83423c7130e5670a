package peer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// Service implements the Twirp service Quorum.
type Service struct{ node *Node }

// Service returns the service for the other control hosts.
func (n *Node) Service() *Service { return &Service{node: n} }

// Step takes messages of another replica. It answers before they are handled.
func (s *Service) Step(ctx context.Context, req *wire.StepRequest) (*wire.StepResponse, error) {
	if err := s.node.accept(req); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	handed := s.node.do(ctx, func() {
		s.node.meet(req.GetFrom(), req.GetFromAddress())
		for _, m := range req.GetMessages() {
			s.node.replica.Step(m)
		}
	})
	if !handed {
		return nil, twirp.NewError(twirp.Unavailable, "this control host takes no part now")
	}
	return &wire.StepResponse{}, nil
}

// accept checks that messages are meant for this replica and its group. A
// replica of no group joins the one whose messages name its identity.
func (n *Node) accept(req *wire.StepRequest) error {
	own := n.store.Identity()
	if own.GetGroup() == req.GetGroup() && req.GetGroup() != "" {
		return nil
	}
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
	own = n.store.Identity()
	for _, m := range req.GetMessages() {
		if req.GetGroup() == "" || m.GetTo() != own.GetIdentity() {
			return errors.Errorf("messages for %s, this is replica %s", m.GetTo(), own.GetIdentity())
		}
	}
	switch own.GetGroup() {
	case req.GetGroup():
		return nil
	case "":
		n.logger.Info("joined a control group", "group", req.GetGroup(), "identity", own.GetIdentity())
		return n.store.JoinGroup(req.GetGroup())
	}
	return errors.Errorf("messages of group %s, this replica is of %s", req.GetGroup(), own.GetGroup())
}

// Hello tells who answers at this address.
func (s *Service) Hello(context.Context, *wire.HelloRequest) (*wire.HelloResponse, error) {
	own := s.node.store.Identity()
	return &wire.HelloResponse{Name: s.node.cfg.Name, Identity: own.GetIdentity(), Group: own.GetGroup()}, nil
}

// Forward proposes a command that another control host was given.
func (s *Service) Forward(ctx context.Context, req *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	data, err := proto.Marshal(req.GetCommand())
	if err != nil {
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	if !s.node.view.Load().isLeader {
		return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_NOT_TAKEN}, nil
	}
	result, err := s.node.proposeHere(ctx, data)
	switch {
	case err == nil:
		return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_DONE, Result: result}, nil
	case errors.Is(err, errUncertain):
		return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_UNCERTAIN}, nil
	}
	return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_NOT_TAKEN}, nil
}

// ReadIndex confirms the leadership for a read at another control host.
func (s *Service) ReadIndex(ctx context.Context, _ *wire.ReadIndexRequest) (*wire.ReadIndexResponse, error) {
	if !s.node.view.Load().isLeader {
		return &wire.ReadIndexResponse{}, nil
	}
	index, ok := s.node.readHere(ctx)
	return &wire.ReadIndexResponse{Index: index, Confirmed: ok, Members: s.node.view.Load().members}, nil
}
