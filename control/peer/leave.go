package peer

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

const (
	// leaveInterval is the interval at which a stopping replica repeats that it leaves.
	leaveInterval = 50 * time.Millisecond
	// leaveTimeout bounds one request.
	leaveTimeout = 500 * time.Millisecond
	// leavingTTL is how long a member that is still reachable counts as leaving after its last
	// request: longer than the rest of its stop takes.
	leavingTTL = 2 * time.Second
)

// Leave tells the leader that this replica is about to stop and waits until its vote has
// been given to a learner. It returns at once if there is none, as at a restart of a group
// without spare hosts, and soon if there is no leader. A leader transfers the leadership first. A
// replica that comes back joins again as a learner.
func (n *Node) Leave(ctx context.Context) {
	if n.cfg.Voters == 0 || n.store.Identity().GetGroup() == "" {
		n.TransferLeadership(ctx)
		return
	}
	n.tellMembers(ctx)
	patience := transferTimeouts * n.cfg.electionTimeout()
	for heard := time.Now(); ctx.Err() == nil && !n.ended() && time.Since(heard) < patience; pause.For(ctx, leaveInterval) {
		if n.view.Load().isLeader {
			if !n.TransferLeadership(ctx) {
				continue // maybe too early in its term
			}
			heard = time.Now()
		}
		pending, err := n.requestLeave(ctx)
		if err != nil {
			n.logger.Debug("leave request not taken", "error", err)
			continue
		}
		if !pending {
			return
		}
		heard = time.Now()
	}
}

// tellMembers tells all members once: the next leader has to know too.
func (n *Node) tellMembers(ctx context.Context) {
	req := &wire.LeaveRequest{Identity: n.store.Identity().GetIdentity()}
	for _, m := range n.view.Load().members {
		if m.GetIdentity() == req.GetIdentity() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
			defer cancel()
			if _, err := n.clients.quorum(m.GetAddress()).Leave(ctx, req); err != nil {
				n.logger.Debug("member not told of the leave", "host", m.GetName(), "error", err)
			}
		}()
	}
}

// requestLeave asks the leader once, and follows the redirect of another host.
func (n *Node) requestLeave(ctx context.Context) (pending bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	v := n.view.Load()
	req := &wire.LeaveRequest{Identity: n.store.Identity().GetIdentity()}
	if v.isLeader || v.leaderAddress == "" {
		return false, errNoLeader // until the transfer of the leadership is over
	}
	response, err := n.clients.quorum(v.leaderAddress).Leave(ctx, req)
	if err == nil && response.GetLeaderAddress() != "" {
		response, err = n.clients.quorum(response.GetLeaderAddress()).Leave(ctx, req)
	}
	switch {
	case err != nil:
		return false, err
	case response.GetLeaderAddress() != "":
		return false, errNoLeader
	}
	return response.GetPending(), nil
}

// Leave registers a member that is about to stop, also on a host that does not lead yet.
func (s *Service) Leave(ctx context.Context, req *wire.LeaveRequest) (*wire.LeaveResponse, error) {
	n := s.node
	response := &wire.LeaveResponse{}
	err := n.call(ctx, func() error {
		response.Pending = n.reconciler.addLeaving(req.GetIdentity(), n.memberStates(), time.Now())
		return nil
	})
	v := n.view.Load()
	switch {
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	case v.isLeader:
		return response, nil
	case v.leaderAddress == "":
		return nil, twirp.NewError(twirp.Unavailable, errNoLeader.Error())
	}
	return &wire.LeaveResponse{LeaderAddress: v.leaderAddress}, nil
}

// addLeaving registers a member that is about to stop. It reports whether it has a vote that
// a learner can take.
func (r *reconciler) addLeaving(identity string, members []memberState, now time.Time) (pending bool) {
	r.leaving[identity] = now
	if r.targetVoters == 0 {
		return false
	}
	hasVote, hasSubstitute := false, countVoters(members) > r.targetVoters
	for _, m := range members {
		switch m.member.GetRole() {
		case quorum.Voter:
			hasVote = hasVote || m.member.GetIdentity() == identity
		case quorum.Learner: // a new leader has not heard from it yet
			hasSubstitute = hasSubstitute || !r.isLeaving(m) && r.unreachableFor(m, now) < replaceVoterAfter
		}
	}
	return hasVote && hasSubstitute
}

// updateLeaving forgets members that are gone, or are reachable and have not said lately that
// they leave, as after a restart.
func (r *reconciler) updateLeaving(members []memberState, now time.Time) {
	reachable := map[string]bool{}
	for _, m := range members {
		reachable[m.member.GetIdentity()] = m.reachable
	}
	for id, at := range r.leaving {
		if isReachable, isMember := reachable[id]; !isMember || isReachable && now.Sub(at) > leavingTTL {
			delete(r.leaving, id)
		}
	}
}

func (r *reconciler) isLeaving(m memberState) bool {
	_, leaving := r.leaving[m.member.GetIdentity()]
	return leaving
}

// substitute returns the learner to promote: the reachable one with the most recent log that
// does not leave itself.
func (r *reconciler) substitute(members []memberState) *memberState {
	var best *memberState
	for n := range members {
		m := &members[n]
		if m.member.GetRole() == quorum.Learner && m.reachable && !r.isLeaving(*m) && (best == nil || m.match > best.match) {
			best = m
		}
	}
	return best
}

// successor returns the voter to transfer the leadership to: the reachable one with the most
// recent log that does not leave. It is empty if there is none.
func (r *reconciler) successor(self string, members []memberState) string {
	id, match := "", uint64(0)
	for _, m := range members {
		if m.member.GetRole() == quorum.Voter && m.reachable && !r.isLeaving(m) && m.member.GetIdentity() != self && m.match >= match {
			id, match = m.member.GetIdentity(), m.match
		}
	}
	return id
}

func countVoters(members []memberState) int {
	voters := 0
	for _, m := range members {
		if m.member.GetRole() == quorum.Voter {
			voters++
		}
	}
	return voters
}
