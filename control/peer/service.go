package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// Service implements the Twirp service Quorum.
type Service struct{ node *Node }

// Service returns the service for the other control hosts.
func (n *Node) Service() *Service { return &Service{node: n} }

// Step receives messages of another replica. It responds before they are processed.
func (s *Service) Step(ctx context.Context, req *wire.StepRequest) (*wire.StepResponse, error) {
	if err := decompress(req, maxDecompressedBytes); err != nil {
		return nil, twirp.InvalidArgumentError("compressed", err.Error())
	}
	if err := s.node.accept(req); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	queued := s.node.do(ctx, func() {
		s.node.addUnknownSender(req.GetFrom(), req.GetFromAddress())
		for _, m := range req.GetMessages() {
			s.node.replica.Step(m)
		}
		if req.GetFrom() == s.node.replica.Leader() {
			s.node.reconciler.learn(req.GetUnreachable(), time.Now())
		}
	})
	if !queued {
		return nil, twirp.NewError(twirp.Unavailable, "replica of this control host is not running")
	}
	return &wire.StepResponse{TakesCompressed: true}, nil
}

// accept checks that the messages are addressed to this replica and its group. A
// replica without a group joins that of messages addressed to its identity.
func (n *Node) accept(req *wire.StepRequest) error {
	self := n.store.Identity()
	if self.GetGroup() == req.GetGroup() && req.GetGroup() != "" {
		return nil
	}
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
	self = n.store.Identity()
	for _, m := range req.GetMessages() {
		if req.GetGroup() == "" || m.GetTo() != self.GetIdentity() {
			return errors.Errorf("messages addressed to %s, but this is replica %s", m.GetTo(), self.GetIdentity())
		}
	}
	switch self.GetGroup() {
	case req.GetGroup():
		return nil
	case "":
		n.logger.Info("joined a control group", "group", req.GetGroup(), "identity", self.GetIdentity())
		return n.store.JoinGroup(req.GetGroup())
	}
	return errors.Errorf("messages from group %s, but this replica belongs to %s", req.GetGroup(), self.GetGroup())
}

// Hello returns the name, identity and group of this replica.
func (s *Service) Hello(context.Context, *wire.HelloRequest) (*wire.HelloResponse, error) {
	self := s.node.store.Identity()
	return &wire.HelloResponse{
		Name: s.node.cfg.Name, Identity: self.GetIdentity(), Group: self.GetGroup(),
		WaitsToBeAdded: self.GetGroup() == "" && len(s.node.cfg.InitialHosts) == 0,
	}, nil
}

// Forward proposes a command that another control host received.
func (s *Service) Forward(ctx context.Context, req *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	data, err := proto.Marshal(req.GetCommand())
	if err != nil {
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	if !s.node.view.Load().isLeader {
		return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_NOT_TAKEN}, nil
	}
	result, err := s.node.proposeLocally(ctx, data)
	switch {
	case err == nil:
		return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_DONE, Result: result}, nil
	case errors.Is(err, errUncertain):
		return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_UNCERTAIN}, nil
	}
	return &wire.ForwardResponse{Outcome: wire.ForwardOutcome_FORWARD_NOT_TAKEN}, nil
}

// ReadIndex confirms the leadership and returns the read index for a linearizable
// read on another control host.
func (s *Service) ReadIndex(ctx context.Context, _ *wire.ReadIndexRequest) (*wire.ReadIndexResponse, error) {
	if !s.node.view.Load().isLeader {
		return &wire.ReadIndexResponse{}, nil
	}
	index, ok := s.node.readIndexLocally(ctx)
	return &wire.ReadIndexResponse{Index: index, Confirmed: ok, Members: s.node.view.Load().members}, nil
}
