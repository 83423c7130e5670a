package peer

import (
	"time"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

// view is an immutable copy of the status of the replica for other goroutines.
type view struct {
	isLeader      bool
	address       string // of this host according to the membership
	leader        string // identity
	leaderName    string
	leaderAddress string
	term          uint64
	commitIndex   uint64
	quorum        bool
	quorumAt      time.Time // time of the last contact with a quorum
	members       []*wire.Member
	leadsSince    time.Time // zero if this host is not the leader
	unreachable   []*wire.UnreachableMember
}

// Status returns the status of the control group from this host's point of view.
func (n *Node) Status() agreement.Status {
	v := n.view.Load()
	members := v.members
	if report := n.leaderMembers.Load(); report != nil && !v.isLeader && time.Since(report.receivedAt) < memberReportTTL {
		members = report.members
	}
	return agreement.NewStatus(v.leaderName, v.leaderAddress, v.term, v.commitIndex, v.quorum && time.Since(v.quorumAt) < staleQuorumTimeouts*n.cfg.electionTimeout(), members).WithAsOf(v.quorumAt).WithLeadsSince(v.leadsSince)
}

// staleQuorumTimeouts is the number of election timeouts after which the last
// contact with a quorum is stale. It is more than one because a replica receives
// nothing while it waits for its disk.
const staleQuorumTimeouts = 2

// memberReportTTL is how long a follower reports the members received from the leader.
const memberReportTTL = 3 * time.Second

// memberReport holds the members as reported by the leader. Only the leader has
// their match index and reachability.
type memberReport struct {
	members    []*wire.Member
	receivedAt time.Time
}

// publishLeaderChange publishes the view immediately, rather than at the next tick,
// if the leader or the term has changed.
func (n *Node) publishLeaderChange() {
	v := n.view.Load()
	isLeader := n.replica.Role() == quorum.Leader
	if v.leader == n.replica.Leader() && v.term == n.replica.Term() && v.isLeader == isLeader {
		return
	}
	// A leader that only lost contact may have its entries committed by the next one.
	superseded := v.isLeader && !isLeader && n.replica.Term() > v.term
	if superseded && time.Since(n.transferAt) > n.cfg.electionTimeout() {
		n.failPending(errUncertain)
	}
	if isLeader {
		n.leadsSince = time.Now()
		n.reconciler.restart(n.leadsSince)
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
	if v.isLeader {
		v.leadsSince = n.leadsSince
		v.unreachable = n.reconciler.report(n.memberStates(), time.Now())
	}
	v.quorumAt = n.view.Load().quorumAt
	if v.quorum {
		v.quorumAt = time.Now()
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
