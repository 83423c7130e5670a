package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// reconcileInterval is the interval at which the leader checks the membership.
	reconcileInterval = 200 * time.Millisecond
	// candidateTTL is how long a candidate remains valid after its last join request: a
	// few request intervals.
	candidateTTL = 4 * joinInterval
	// replaceVoterAfter is how long a voter must be unreachable before a learner is
	// promoted in its place. A voter that stops as planned gives its vote away itself.
	replaceVoterAfter = time.Second
	// firstAnswers is how long a new leader waits for the first answers of its members before it
	// relies on what it knows from the leaders before it.
	firstAnswers = 200 * time.Millisecond
	// removeLearnerAfter is how long a learner must be unreachable before it is removed.
	removeLearnerAfter = 20 * time.Second
)

// reconciler maintains the number of voters: the leader adds replicas that request
// to join, promotes them, and removes replicas that lost their disk. The other replicas
// keep what they are told, so that a new leader continues from it. It belongs to the
// goroutine of Run.
type reconciler struct {
	targetVoters     int // 0 to leave the membership to operators
	candidates       map[string]candidate
	unreachableSince map[string]time.Time // by identity of the member
	leaving          map[string]time.Time // last time that a member said that it is about to stop
	leadsSince       time.Time            // last time that this replica became the leader
}

type candidate struct {
	member      *wire.Member
	lastRequest time.Time
}

func newReconciler(voters int) reconciler {
	return reconciler{targetVoters: voters, candidates: map[string]candidate{}, unreachableSince: map[string]time.Time{}, leaving: map[string]time.Time{}}
}

// restart is called when this replica becomes the leader. It forgets members that stopped
// long ago. For how long members have been unreachable outlives the leader that noticed it.
func (r *reconciler) restart(now time.Time) {
	r.leadsSince = now
	maps.DeleteFunc(r.leaving, func(_ string, at time.Time) bool { return now.Sub(at) > replaceVoterAfter })
}

// addCandidate registers a replica that requests to join.
func (r *reconciler) addCandidate(req *wire.JoinRequest, now time.Time) {
	r.candidates[req.GetIdentity()] = candidate{
		member: &wire.Member{Name: req.GetName(), Address: req.GetAddress(), Identity: req.GetIdentity()}, lastRequest: now,
	}
}

// membershipChange is a change of one member.
type membershipChange struct {
	kind   string
	member *wire.Member
	reason string
}

// memberState is the state of a member as observed by the leader.
type memberState struct {
	member    *wire.Member
	reachable bool   // not silent for an election timeout; assumed by a new leader
	answered  bool   // since this replica became the leader
	match     uint64 // last index of the log that is durable on it
	replaced  bool   // its address is used by a replica with another identity
}

// next returns the change of the highest priority, or nil.
func (r *reconciler) next(self string, members []memberState, now time.Time) *membershipChange {
	if r.targetVoters == 0 {
		return nil
	}
	r.updateState(members, now)
	for _, choose := range []func(string, []memberState, time.Time) *membershipChange{r.add, r.promote, r.remove} {
		if change := choose(self, members, now); change != nil {
			return change
		}
	}
	return nil
}

// updateState updates since when members are unreachable and which are replaced, and
// drops expired candidates.
func (r *reconciler) updateState(members []memberState, now time.Time) {
	seen := map[string]bool{}
	for n := range members {
		m := &members[n]
		id := m.member.GetIdentity()
		seen[id] = true
		if _, recorded := r.unreachableSince[id]; !m.reachable && !recorded {
			r.unreachableSince[id] = now
		}
		if m.reachable && m.answered {
			delete(r.unreachableSince, id)
		}
		for _, c := range r.candidates {
			m.replaced = m.replaced || !m.reachable && c.member.GetAddress() == m.member.GetAddress() && c.member.GetIdentity() != id
		}
		for _, other := range members {
			sameAddress := other.member.GetAddress() == m.member.GetAddress() && other.member.GetIdentity() != id
			m.replaced = m.replaced || sameAddress && (!m.reachable && other.reachable || !m.answered && other.answered && other.reachable)
		}
	}
	r.updateLeaving(members, now)
	for id := range r.unreachableSince {
		if !seen[id] {
			delete(r.unreachableSince, id)
		}
	}
	for id, c := range r.candidates {
		if now.Sub(c.lastRequest) > candidateTTL {
			delete(r.candidates, id)
		}
	}
}

// unreachableFor returns for how long a member has been unreachable, under this leader or those
// before it.
func (r *reconciler) unreachableFor(m memberState, now time.Time) time.Duration {
	since, recorded := r.unreachableSince[m.member.GetIdentity()]
	isHeard := m.reachable && (m.answered || now.Sub(r.leadsSince) < firstAnswers)
	if !recorded || isHeard {
		return 0
	}
	return now.Sub(since)
}

// add adds a candidate as a learner.
func (r *reconciler) add(_ string, members []memberState, _ time.Time) *membershipChange {
	for id, c := range r.candidates {
		isMember := false
		for _, m := range members {
			isMember = isMember || m.member.GetIdentity() == id
		}
		if !isMember {
			return &membershipChange{kind: ChangeAddLearner, member: c.member, reason: "join requested"}
		}
	}
	return nil
}

// isFailing reports whether another voter must take the place of a member: it was replaced, is
// about to stop or has stopped, or has been unreachable for replaceVoterAfter.
func (r *reconciler) isFailing(m memberState, now time.Time) bool {
	return m.replaced || r.isLeaving(m) || r.unreachableFor(m, now) > replaceVoterAfter
}

// promote promotes a learner if there are too few voters, not counting those that fail.
func (r *reconciler) promote(_ string, members []memberState, now time.Time) *membershipChange {
	sound := 0
	for _, m := range members {
		if m.member.GetRole() == quorum.Voter && !r.isFailing(m, now) {
			sound++
		}
	}
	if sound >= r.targetVoters {
		return nil
	}
	if m := r.substitute(members); m != nil {
		return &membershipChange{kind: ChangePromote, member: m.member, reason: "too few voters"}
	}
	return nil
}

// remove removes surplus voters, failed ones first, and learners that are replaced or
// have been unreachable for removeLearnerAfter. It never removes the leader.
func (r *reconciler) remove(self string, members []memberState, now time.Time) *membershipChange {
	voters := countVoters(members)
	for _, m := range members {
		if m.member.GetIdentity() == self {
			continue
		}
		unreachable := r.unreachableFor(m, now)
		switch {
		case m.member.GetRole() == quorum.Voter && voters > r.targetVoters && r.isFailing(m, now):
			return &membershipChange{kind: ChangeRemove, member: m.member, reason: "replaced by another voter"}
		case m.member.GetRole() == quorum.Learner && (m.replaced || unreachable > removeLearnerAfter):
			return &membershipChange{kind: ChangeRemove, member: m.member, reason: "learner unreachable"}
		}
	}
	if voters <= r.targetVoters {
		return nil
	}
	if m := r.surplusVoter(self, members, now); m != nil {
		return &membershipChange{kind: ChangeRemove, member: m, reason: "too many voters"}
	}
	return nil
}

// surplusVoter returns the voter to remove if none has failed: the one that has been
// unreachable the longest, so that the remaining ones answer, else the one that was
// added last. It is never the leader. A new leader removes none before it knows which ones answer.
func (r *reconciler) surplusVoter(self string, members []memberState, now time.Time) *wire.Member {
	var surplus *wire.Member
	longest := time.Duration(-1)
	for _, m := range members {
		if m.member.GetRole() == quorum.Voter && m.reachable && !m.answered {
			return nil
		}
	}
	for _, m := range slices.Backward(members) { // members are in the order in which they were added
		if m.member.GetRole() != quorum.Voter || m.member.GetIdentity() == self {
			continue
		}
		if surplus == nil {
			surplus = m.member
		}
		if unreachable := r.unreachableFor(m, now); !m.reachable && unreachable > longest {
			surplus, longest = m.member, unreachable
		}
	}
	return surplus
}

// reconcileMembership runs the reconciler while this replica is the leader and
// applies its changes one at a time. While a voter is added for another, one more of the voters
// has to answer, so that the next change follows at once.
func (n *Node) reconcileMembership(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for n.view.Load().isLeader && n.reconcileOnce(ctx) {
			continue
		}
	}
}

// reconcileOnce reports whether a change was committed.
func (n *Node) reconcileOnce(ctx context.Context) bool {
	var change *membershipChange
	_ = n.call(ctx, func() error {
		change = n.reconciler.next(n.replica.ID(), n.memberStates(), time.Now())
		return nil
	})
	return change != nil && n.applyChange(ctx, change)
}

func (n *Node) memberStates() []memberState {
	var states []memberState
	for _, m := range n.replica.Members() {
		match, active := n.replica.MatchIndex(m.GetIdentity())
		states = append(states, memberState{member: m, reachable: active, answered: n.replica.HasAnswered(m.GetIdentity()), match: match})
	}
	return states
}

func (n *Node) applyChange(ctx context.Context, change *membershipChange) bool {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := n.change(ctx, &wire.GroupChangeRequest{Change: change.kind, Member: change.member})
	if err != nil {
		n.logger.Debug("membership not changed", "change", change.kind, "host", change.member.GetName(), "error", err)
		return false
	}
	n.logger.Info("membership changed", "change", change.kind, "host", change.member.GetName(),
		"identity", change.member.GetIdentity(), "why", change.reason)
	return true
}
