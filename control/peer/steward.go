package peer

import (
	"context"
	"time"

	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	// stewardInterval is how often the leader looks at the membership.
	stewardInterval = 200 * time.Millisecond
	// candidateAge is how long after its last question a replica still wants to
	// join: a few of its intervals.
	candidateAge = 4 * joinInterval
	// replaceAfter is how long a voter must not answer before a learner takes
	// its vote: longer than a planned restart.
	replaceAfter = 4 * time.Second
	// forgetAfter is how long a learner must not answer before it is removed.
	forgetAfter = 20 * time.Second
)

// steward keeps the group at its size: the leader takes in replicas that ask,
// gives them votes, and removes replicas whose disk is lost. It belongs to the
// goroutine of Run.
type steward struct {
	voters     int // wanted, 0 to leave the membership to operators
	candidates map[string]candidate
	silentFrom map[string]time.Time // by identity, while a member does not answer
}

type candidate struct {
	member *wire.Member
	at     time.Time
}

func newSteward(voters int) steward {
	return steward{voters: voters, candidates: map[string]candidate{}, silentFrom: map[string]time.Time{}}
}

// asked remembers a replica that wants to join.
func (s *steward) asked(req *wire.JoinRequest, now time.Time) {
	s.candidates[req.GetIdentity()] = candidate{
		member: &wire.Member{Name: req.GetName(), Address: req.GetAddress(), Identity: req.GetIdentity()}, at: now,
	}
}

// step is one change of the membership that the steward wants.
type step struct {
	change string
	member *wire.Member
	why    string
}

// memberState is what the leader knows of a member.
type memberState struct {
	member    *wire.Member
	reachable bool
	replaced  bool // its address is used by a replica with another identity
}

// next returns the most urgent change, or nil.
func (s *steward) next(self string, members []memberState, now time.Time) *step {
	if s.voters == 0 {
		return nil
	}
	s.note(members, now)
	for _, choose := range []func(string, []memberState, time.Time) *step{s.add, s.promote, s.remove} {
		if wanted := choose(self, members, now); wanted != nil {
			return wanted
		}
	}
	return nil
}

// note follows for how long members have not answered.
func (s *steward) note(members []memberState, now time.Time) {
	seen := map[string]bool{}
	for n := range members {
		m := &members[n]
		id := m.member.GetIdentity()
		seen[id] = true
		if _, known := s.silentFrom[id]; !m.reachable && !known {
			s.silentFrom[id] = now
		}
		if m.reachable {
			delete(s.silentFrom, id)
		}
		for _, c := range s.candidates {
			m.replaced = m.replaced || !m.reachable && c.member.GetAddress() == m.member.GetAddress() && c.member.GetIdentity() != id
		}
		for _, other := range members {
			m.replaced = m.replaced || !m.reachable && other.reachable && other.member.GetAddress() == m.member.GetAddress() && other.member.GetIdentity() != id
		}
	}
	for id := range s.silentFrom {
		if !seen[id] {
			delete(s.silentFrom, id)
		}
	}
	for id, c := range s.candidates {
		if now.Sub(c.at) > candidateAge {
			delete(s.candidates, id)
		}
	}
}

func (s *steward) silentFor(m memberState, now time.Time) time.Duration {
	from, silent := s.silentFrom[m.member.GetIdentity()]
	if !silent {
		return 0
	}
	return now.Sub(from)
}

// add takes a replica that asked as a learner.
func (s *steward) add(_ string, members []memberState, _ time.Time) *step {
	for id, c := range s.candidates {
		known := false
		for _, m := range members {
			known = known || m.member.GetIdentity() == id
		}
		if !known {
			return &step{change: ChangeAddLearner, member: c.member, why: "it asked to join"}
		}
	}
	return nil
}

// promote gives a learner a vote if votes are missing, or if a voter's disk is
// lost or the voter has not answered for long.
func (s *steward) promote(_ string, members []memberState, now time.Time) *step {
	voters, dead := 0, 0
	for _, m := range members {
		if m.member.GetRole() != quorum.Voter {
			continue
		}
		voters++
		if m.replaced || s.silentFor(m, now) > replaceAfter {
			dead++
		}
	}
	if voters-dead >= s.voters {
		return nil
	}
	for _, m := range members {
		if m.member.GetRole() == quorum.Learner && m.reachable {
			return &step{change: ChangePromote, member: m.member, why: "votes are missing"}
		}
	}
	return nil
}

// remove removes a voter that another one replaced, and learners that have not
// answered for long.
func (s *steward) remove(self string, members []memberState, now time.Time) *step {
	voters := 0
	for _, m := range members {
		if m.member.GetRole() == quorum.Voter {
			voters++
		}
	}
	for _, m := range members {
		if m.member.GetIdentity() == self {
			continue
		}
		silent := s.silentFor(m, now)
		switch {
		case m.member.GetRole() == quorum.Voter && voters > s.voters && (m.replaced || silent > replaceAfter):
			return &step{change: ChangeRemove, member: m.member, why: "another replica has its vote"}
		case m.member.GetRole() == quorum.Learner && (m.replaced || silent > forgetAfter):
			return &step{change: ChangeRemove, member: m.member, why: "the learner does not answer"}
		}
	}
	if voters <= s.voters {
		return nil
	}
	for _, m := range members { // all answer: the one that came last has to go
		if m.member.GetRole() == quorum.Voter && m.member.GetIdentity() != self {
			return &step{change: ChangeRemove, member: m.member, why: "the group has a vote too many"}
		}
	}
	return nil
}

// keepMembership lets the steward change the membership while this replica
// leads, one replica at a time.
func (n *Node) keepMembership(ctx context.Context) {
	ticker := time.NewTicker(stewardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !n.view.Load().isLeader {
			continue
		}
		var wanted *step
		_ = n.call(ctx, func() error {
			wanted = n.steward.next(n.replica.ID(), n.memberStates(), time.Now())
			return nil
		})
		if wanted != nil {
			n.carryOut(ctx, wanted)
		}
	}
}

func (n *Node) memberStates() []memberState {
	var states []memberState
	for _, m := range n.replica.Members() {
		_, active := n.replica.MatchIndex(m.GetIdentity())
		states = append(states, memberState{member: m, reachable: active})
	}
	return states
}

func (n *Node) carryOut(ctx context.Context, wanted *step) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	err := n.change(ctx, &wire.GroupChangeRequest{Change: wanted.change, Member: wanted.member})
	if err != nil {
		n.logger.Debug("membership not changed", "change", wanted.change, "host", wanted.member.GetName(), "error", err)
		return
	}
	n.logger.Info("membership changed", "change", wanted.change, "host", wanted.member.GetName(),
		"identity", wanted.member.GetIdentity(), "why", wanted.why)
}
