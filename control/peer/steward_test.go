package peer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

func memberAt(identity, address, role string, reachable bool) memberState {
	return memberState{member: &wire.Member{Identity: identity, Address: address, Name: address, Role: role}, reachable: reachable}
}

// wants returns what the steward wants after the members have been as given for
// a time.
func wants(s *steward, after time.Duration, members ...memberState) string {
	now := time.Unix(1000, 0)
	s.next("a", members, now)
	for id := range s.candidates { // it goes on asking
		c := s.candidates[id]
		c.at = now.Add(after)
		s.candidates[id] = c
	}
	step := s.next("a", members, now.Add(after))
	if step == nil {
		return ""
	}
	return step.change + " " + step.member.GetIdentity()
}

func three(cUp bool) []memberState {
	return []memberState{memberAt("a", "1", quorum.Voter, true), memberAt("b", "2", quorum.Voter, true), memberAt("c", "3", quorum.Voter, cUp)}
}

func TestAReplicaThatAskedIsAddedAndGetsAMissingVote(t *testing.T) {
	s := newSteward(3)
	two := three(true)[:2]
	must.Eq(t, "", wants(&s, 0, two...))
	s.asked(&wire.JoinRequest{Identity: "d", Address: "4"}, time.Unix(1000, 0))
	must.Eq(t, ChangeAddLearner+" d", wants(&s, 0, two...))
	must.Eq(t, ChangePromote+" d", wants(&s, 0, append(two, memberAt("d", "4", quorum.Learner, true))...))
	must.Eq(t, "", wants(&s, 0, append(three(true), memberAt("d", "4", quorum.Learner, true))...))
}

func TestALostDiskIsReplacedWithoutWaiting(t *testing.T) {
	s := newSteward(3)
	s.asked(&wire.JoinRequest{Identity: "new", Address: "3"}, time.Unix(1000, 0))
	must.Eq(t, ChangeAddLearner+" new", wants(&s, 0, three(false)...))
	learner := append(three(false), memberAt("new", "3", quorum.Learner, true))
	must.Eq(t, ChangePromote+" new", wants(&s, 0, learner...))
	voter := append(three(false), memberAt("new", "3", quorum.Voter, true))
	must.Eq(t, ChangeRemove+" c", wants(&s, 0, voter...))
}

func TestARestartCostsNoVote(t *testing.T) {
	members := append(three(false), memberAt("d", "4", quorum.Learner, true))
	s := newSteward(3)
	must.Eq(t, "", wants(&s, replaceAfter/2, members...))
	s = newSteward(3)
	must.Eq(t, ChangePromote+" d", wants(&s, replaceAfter+time.Second, members...))
	s = newSteward(0)
	must.Eq(t, "", wants(&s, time.Hour, members...), must.Sprint("operators keep the membership"))
}

func TestTheLeaderIsNeverRemovedAndLearnersThatAreGoneAre(t *testing.T) {
	s := newSteward(1)
	must.Eq(t, ChangeRemove+" b", wants(&s, 0, three(true)[:2]...))
	s = newSteward(3)
	members := append(three(true), memberAt("d", "4", quorum.Learner, false))
	must.Eq(t, "", wants(&s, forgetAfter/2, members...))
	must.Eq(t, ChangeRemove+" d", wants(&s, forgetAfter+time.Second, members...))
}
