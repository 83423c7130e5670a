package peer

import (
	"time"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// view is what other goroutines see of the replica.
type view struct {
	isLeader      bool
	address       string // of this host, as the membership has it
	leader        string // identity
	leaderName    string
	leaderAddress string
	term          uint64
	commitIndex   uint64
	quorum        bool
	heardAt       time.Time // when a quorum's word was last heard
	members       []*wire.Member
}

// Status describes the control group as this host sees it.
func (n *Node) Status() agreement.Status {
	v := n.view.Load()
	members := v.members
	if told := n.told.Load(); told != nil && !v.isLeader && time.Since(told.at) < toldLimit {
		members = told.members
	}
	return agreement.NewStatus(v.leaderName, v.leaderAddress, v.term, v.commitIndex, v.quorum && time.Since(v.heardAt) < staleTimes*n.cfg.electionTime(), members).WithAsOf(v.heardAt)
}

// staleTimes is how many election times old the last word of a quorum may be:
// a replica that waits for its disk hears nothing meanwhile.
const staleTimes = 2

// toldLimit is how long a follower passes on what the leader said.
const toldLimit = 3 * time.Second

// toldMembers are the members as the leader saw them: only it knows how far
// they are and whether they answer.
type toldMembers struct {
	members []*wire.Member
	at      time.Time
}

// noteLeader publishes the view at once when the leader or the term changed.
func (n *Node) noteLeader() {
	v := n.view.Load()
	leads := n.replica.Role() == quorum.Leader
	if v.leader == n.replica.Leader() && v.term == n.replica.Term() && v.isLeader == leads {
		return
	}
	if v.isLeader && !leads {
		n.failPending(errUncertain)
	}
	if leads {
		n.clockBase, n.clockSince = n.machine.Clock(), time.Now()
	}
	n.publish()
	n.logger.Info("leader changed", "leader", n.view.Load().leaderName, "term", n.replica.Term(), "role", n.replica.Role())
}

func (n *Node) publish() {
	v := &view{
		isLeader: n.replica.Role() == quorum.Leader && n.failure() == nil,
		leader:   n.replica.Leader(), term: n.replica.Term(), commitIndex: n.replica.CommitIndex(),
		quorum: n.replica.HasQuorum() && n.failure() == nil,
	}
	v.heardAt = n.view.Load().heardAt
	if v.quorum {
		v.heardAt = time.Now()
	}
	for _, m := range n.replica.Members() {
		if m.GetIdentity() == v.leader {
			v.leaderName, v.leaderAddress = m.GetName(), m.GetAddress()
		}
		if m.GetIdentity() == n.replica.ID() {
			v.address = m.GetAddress()
		}
		match, active := n.replica.MatchIndex(m.GetIdentity())
		v.members = append(v.members, &wire.Member{
			Name: m.GetName(), Address: m.GetAddress(), Role: m.GetRole(), Identity: m.GetIdentity(),
			MatchIndex: match, Reachable: active || (v.quorum && m.GetIdentity() == v.leader),
		})
	}
	n.view.Store(v)
}
