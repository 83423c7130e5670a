package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// Membership changes.
const (
	ChangeAddLearner = "add-learner"
	ChangePromote    = "promote"
	ChangeRemove     = "remove"
)

// changeTimeout bounds the time until a membership change is committed.
const changeTimeout = 10 * time.Second

// Group implements the Twirp service Group, the operators' interface to the
// membership.
type Group struct{ node *Node }

// Group returns the operators' service.
func (n *Node) Group() *Group { return &Group{node: n} }

// Change adds, promotes or removes one replica. A follower forwards the request to
// the leader.
func (g *Group) Change(ctx context.Context, req *wire.GroupChangeRequest) (*wire.GroupChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	v := g.node.view.Load()
	switch {
	case !v.isLeader && v.leaderAddress != "":
		return g.node.operators.group(v.leaderAddress).Change(ctx, req)
	case !v.isLeader:
		return nil, twirp.NewError(twirp.Unavailable, agreement.ErrNoQuorum.Error())
	}
	if err := g.node.change(ctx, req); err != nil {
		return g.refusal(err)
	}
	return &wire.GroupChangeResponse{Done: true, Members: g.node.view.Load().members}, nil
}

func (g *Group) refusal(err error) (*wire.GroupChangeResponse, error) {
	if errors.Is(err, errUncertain) || errors.Is(err, errNotLeader) {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wire.GroupChangeResponse{Refusal: err.Error(), Members: g.node.view.Load().members}, nil
}

func (n *Node) change(ctx context.Context, req *wire.GroupChangeRequest) error {
	m := req.GetMember()
	var propose func() (uint64, uint64, error)
	switch req.GetChange() {
	case ChangeAddLearner:
		learner, err := n.newLearner(ctx, m)
		if err != nil {
			return err
		}
		propose = func() (uint64, uint64, error) { return n.replica.AddLearner(learner) }
	case ChangePromote:
		propose = func() (uint64, uint64, error) { return n.replica.Promote(n.identityOf(m, quorum.Learner)) }
	case ChangeRemove:
		propose = func() (uint64, uint64, error) { return n.replica.Remove(n.identityOf(m, "")) }
	default:
		return errors.Errorf("invalid membership change: must be %s, %s or %s", ChangeAddLearner, ChangePromote, ChangeRemove)
	}
	_, err := n.await(ctx, propose)
	return err
}

// newLearner requests the identity of the replica at an address. The identity is
// generated together with the data folder, so an operator need not supply it.
func (n *Node) newLearner(ctx context.Context, m *wire.Member) (*wire.Member, error) {
	response, err := n.hello(ctx, m.GetAddress())
	if err != nil {
		return nil, errors.Wrapf(err, "request identity of %s", m.GetAddress())
	}
	group := n.store.Identity().GetGroup()
	if response.GetGroup() != "" && response.GetGroup() != group {
		return nil, errors.Errorf("replica at %s belongs to another group", m.GetAddress())
	}
	if m.GetIdentity() != "" && m.GetIdentity() != response.GetIdentity() {
		return nil, errors.Errorf("replica at %s has identity %s", m.GetAddress(), response.GetIdentity())
	}
	return &wire.Member{Name: response.GetName(), Address: m.GetAddress(), Identity: response.GetIdentity()}, nil
}

// identityOf returns the identity of a member, looked up by name if necessary. It
// is empty if the name is not unique or not found.
func (n *Node) identityOf(m *wire.Member, role string) string {
	if m.GetIdentity() != "" {
		return m.GetIdentity()
	}
	found := ""
	for _, candidate := range n.replica.Members() {
		if candidate.GetName() != m.GetName() || (role != "" && candidate.GetRole() != role) {
			continue
		}
		if found != "" {
			return ""
		}
		found = candidate.GetIdentity()
	}
	return found
}

// Transfer transfers the leadership to the host of the given name. If the name is
// empty, the leader selects a voter.
func (g *Group) Transfer(ctx context.Context, req *wire.TransferRequest) (*wire.TransferResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	n := g.node
	v := n.view.Load()
	if !v.isLeader && v.leaderAddress != "" {
		return n.operators.group(v.leaderAddress).Transfer(ctx, req)
	}
	if err := n.call(ctx, func() error { return n.transferTo(req.GetTo()) }); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	for n.view.Load().leader == v.leader || n.view.Load().leader == "" {
		if !pause.For(ctx, retryInterval) {
			break
		}
	}
	current := n.view.Load()
	return &wire.TransferResponse{Done: current.leader != v.leader && current.leader != "", Leader: current.leaderName}, nil
}

// transferTo starts a transfer. The successor has the log of this replica, so that
// pending proposals wait for the successor to commit them.
func (n *Node) transferTo(name string) error {
	id := ""
	if name != "" {
		if id = n.identityOf(&wire.Member{Name: name}, quorum.Voter); id == "" {
			return quorum.ErrNoSuccessor
		}
	}
	if id == "" {
		id = n.reconciler.successor(n.replica.ID(), n.memberStates())
	}
	if err := n.replica.Transfer(id); err != nil {
		return err
	}
	n.transferAt = time.Now()
	return nil
}
