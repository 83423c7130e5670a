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

// Changes of the membership.
const (
	ChangeAddLearner = "add-learner"
	ChangePromote    = "promote"
	ChangeRemove     = "remove"
)

// changeLimit is how long a change may take to be committed.
const changeLimit = 10 * time.Second

// Group implements the Twirp service Group.
type Group struct{ node *Node }

// Group returns the service for operators.
func (n *Node) Group() *Group { return &Group{node: n} }

// Change changes the membership by one replica. A follower passes it on.
func (g *Group) Change(ctx context.Context, req *wire.GroupChangeRequest) (*wire.GroupChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	v := g.node.view.Load()
	switch {
	case !v.isLeader && v.leaderAddress != "":
		return g.node.operators.group(v.leaderAddress).Change(ctx, req)
	case !v.isLeader:
		return nil, twirp.NewError(twirp.Unavailable, agreement.ErrNoQuorum.Error())
	}
	if err := g.node.change(ctx, req); err != nil {
		return g.refused(err)
	}
	return &wire.GroupChangeResponse{Done: true, Members: g.node.view.Load().members}, nil
}

func (g *Group) refused(err error) (*wire.GroupChangeResponse, error) {
	if errors.Is(err, errUncertain) || errors.Is(err, errNotTaken) {
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
		return errors.Errorf("a change is %s, %s or %s", ChangeAddLearner, ChangePromote, ChangeRemove)
	}
	_, err := n.await(ctx, propose)
	return err
}

// newLearner asks the host at the address who it is: its identity is made with
// its data folder.
func (n *Node) newLearner(ctx context.Context, m *wire.Member) (*wire.Member, error) {
	answer, err := n.hello(ctx, m.GetAddress())
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s for its identity", m.GetAddress())
	}
	group := n.store.Identity().GetGroup()
	if answer.GetGroup() != "" && answer.GetGroup() != group {
		return nil, errors.Errorf("the replica at %s belongs to another group", m.GetAddress())
	}
	if m.GetIdentity() != "" && m.GetIdentity() != answer.GetIdentity() {
		return nil, errors.Errorf("the replica at %s has the identity %s", m.GetAddress(), answer.GetIdentity())
	}
	return &wire.Member{Name: answer.GetName(), Address: m.GetAddress(), Identity: answer.GetIdentity()}, nil
}

// identityOf finds a member by identity, or by a name that only one has.
func (n *Node) identityOf(m *wire.Member, role string) string {
	if m.GetIdentity() != "" {
		return m.GetIdentity()
	}
	found := ""
	for _, one := range n.replica.Members() {
		if one.GetName() != m.GetName() || (role != "" && one.GetRole() != role) {
			continue
		}
		if found != "" {
			return ""
		}
		found = one.GetIdentity()
	}
	return found
}

// Transfer hands the leadership to a host by its name; without one the leader
// chooses.
func (g *Group) Transfer(ctx context.Context, req *wire.TransferRequest) (*wire.TransferResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
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
		if !pause.For(ctx, retryPause) {
			break
		}
	}
	now := n.view.Load()
	return &wire.TransferResponse{Done: now.leader != v.leader && now.leader != "", Leader: now.leaderName}, nil
}

func (n *Node) transferTo(name string) error {
	if name == "" {
		return n.replica.Transfer("")
	}
	id := n.identityOf(&wire.Member{Name: name}, quorum.Voter)
	if id == "" {
		return quorum.ErrNoSuccessor
	}
	return n.replica.Transfer(id)
}
