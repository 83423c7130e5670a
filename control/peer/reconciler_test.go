package peer

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/world/wire"
)

func memberAt(identity, address, role string, reachable bool) memberState {
	return memberState{member: &wire.Member{Identity: identity, Address: address, Name: address, Role: role}, reachable: reachable, answered: reachable}
}

// nextChange returns the change that the reconciler requests after the members have
// been in the given state for a time.
func nextChange(r *reconciler, after time.Duration, members ...memberState) string {
	now := time.Unix(1000, 0)
	r.next("a", members, now)
	for id := range r.candidates { // renew the join requests
		c := r.candidates[id]
		c.lastRequest = now.Add(after)
		r.candidates[id] = c
	}
	change := r.next("a", members, now.Add(after))
	if change == nil {
		return ""
	}
	return change.kind + " " + change.member.GetIdentity()
}

func threeVoters(cReachable bool) []memberState {
	return []memberState{memberAt("a", "1", quorum.Voter, true), memberAt("b", "2", quorum.Voter, true), memberAt("c", "3", quorum.Voter, cReachable)}
}

func TestCandidateIsAddedAndPromotedIfVotersAreMissing(t *testing.T) {
	r := newReconciler(3)
	two := threeVoters(true)[:2]
	must.Eq(t, "", nextChange(&r, 0, two...))
	r.addCandidate(&wire.JoinRequest{Identity: "d", Address: "4"}, time.Unix(1000, 0))
	must.Eq(t, ChangeAddLearner+" d", nextChange(&r, 0, two...))
	must.Eq(t, ChangePromote+" d", nextChange(&r, 0, append(two, memberAt("d", "4", quorum.Learner, true))...))
	must.Eq(t, "", nextChange(&r, 0, append(threeVoters(true), memberAt("d", "4", quorum.Learner, true))...))
}

func TestReplicaWithLostDiskIsReplacedImmediately(t *testing.T) {
	r := newReconciler(3)
	r.addCandidate(&wire.JoinRequest{Identity: "new", Address: "3"}, time.Unix(1000, 0))
	must.Eq(t, ChangeAddLearner+" new", nextChange(&r, 0, threeVoters(false)...))
	learner := append(threeVoters(false), memberAt("new", "3", quorum.Learner, true))
	must.Eq(t, ChangePromote+" new", nextChange(&r, 0, learner...))
	voter := append(threeVoters(false), memberAt("new", "3", quorum.Voter, true))
	must.Eq(t, ChangeRemove+" c", nextChange(&r, 0, voter...))
}

func TestRestartDoesNotReplaceVoter(t *testing.T) {
	members := append(threeVoters(false), memberAt("d", "4", quorum.Learner, true))
	r := newReconciler(3)
	must.Eq(t, "", nextChange(&r, replaceVoterAfter/2, members...))
	r = newReconciler(3)
	must.Eq(t, ChangePromote+" d", nextChange(&r, replaceVoterAfter+time.Second, members...))
	r = newReconciler(0)
	must.Eq(t, "", nextChange(&r, time.Hour, members...), must.Sprint("operators manage the membership"))
}

func TestLeaderIsNeverRemovedAndUnreachableLearnersAre(t *testing.T) {
	r := newReconciler(1)
	must.Eq(t, ChangeRemove+" b", nextChange(&r, 0, threeVoters(true)[:2]...))
	r = newReconciler(3)
	members := append(threeVoters(true), memberAt("d", "4", quorum.Learner, false))
	must.Eq(t, "", nextChange(&r, removeLearnerAfter/2, members...))
	must.Eq(t, ChangeRemove+" d", nextChange(&r, removeLearnerAfter+time.Second, members...))
}

// A group that keeps a voter that does not answer in place of one that does is one
// failure closer to the loss of its quorum.
func TestSurplusVoterThatDoesNotAnswerIsRemovedBeforeOthers(t *testing.T) {
	for _, unreachable := range []string{"b", "c", "d"} {
		r := newReconciler(3)
		members := append(threeVoters(true), memberAt("d", "4", quorum.Voter, true))
		for n := range members {
			members[n].reachable = members[n].member.GetIdentity() != unreachable
		}
		change := r.next("a", members, time.Unix(1000, 0)) // first seen as unreachable now
		must.Eq(t, unreachable, change.member.GetIdentity())
		must.Eq(t, ChangeRemove+" "+unreachable, nextChange(&r, replaceVoterAfter/2, members...))
	}
}

func TestSurplusVoterThatWasSilentLongerIsRemovedFirst(t *testing.T) {
	for _, first := range []int{1, 2, 3} {
		r := newReconciler(3)
		members := append(threeVoters(true), memberAt("d", "4", quorum.Voter, true))
		members[first].reachable = false
		r.updateState(members, time.Unix(999, 0))
		for n := range members[1:] {
			members[n+1].reachable = false
		}
		must.Eq(t, ChangeRemove+" "+members[first].member.GetIdentity(), nextChange(&r, 0, members...))
	}
}

// A substitute that was promoted for a voter that has returned leaves again; the
// hosts that formed the group stay.
func TestSurplusVoterThatWasAddedLastIsRemoved(t *testing.T) {
	r := newReconciler(3)
	members := append(threeVoters(true), memberAt("d", "4", quorum.Voter, true), memberAt("e", "5", quorum.Learner, true))
	must.Eq(t, ChangeRemove+" d", nextChange(&r, 0, members...))
	leaderLast := append(threeVoters(true)[1:], memberAt("d", "4", quorum.Voter, true), memberAt("a", "1", quorum.Voter, true))
	must.Eq(t, ChangeRemove+" d", nextChange(&r, 0, leaderLast...))
	must.Eq(t, "", nextChange(&r, 0, members[:3]...))
}

// Guards against a new leader that takes a host that has stopped as planned for one that restarts.
func TestNewLeaderKnowsWhoIsStopping(t *testing.T) {
	stopped := time.Unix(1000, 0)
	for _, test := range []struct {
		later time.Duration
		want  string
	}{{time.Second, ChangePromote + " d"}, {replaceVoterAfter + time.Second, ""}} {
		r := newReconciler(3)
		r.addLeaving("c", threeVoters(true), stopped)
		r.restart(stopped.Add(test.later))
		members := append(threeVoters(false), memberAt("d", "4", quorum.Learner, true))
		change := r.next("a", members, stopped.Add(test.later))
		if test.want == "" {
			must.Nil(t, change)
			continue
		}
		must.Eq(t, test.want, change.kind+" "+change.member.GetIdentity())
	}
}

// Guards against a new leader that removes the voter that has just replaced one with a lost disk, as
// it takes both for reachable before either could answer.
func TestNewLeaderRemovesNoVoterBeforeItKnowsWhichOnesAnswer(t *testing.T) {
	for _, test := range []struct {
		silent   bool     // the lost one has been silent for an election timeout
		answered []string // besides the leader
		want     string
	}{
		{false, nil, ""},
		{false, []string{"b"}, ""},
		{false, []string{"d"}, ChangeRemove + " c"},
		{true, []string{"b"}, ChangeRemove + " c"},
	} {
		r := newReconciler(3)
		members := append(threeVoters(!test.silent), memberAt("d", "3", quorum.Voter, true))
		for n := range members[1:] {
			members[n+1].answered = slices.Contains(test.answered, members[n+1].member.GetIdentity())
		}
		must.Eq(t, test.want, nextChange(&r, 0, members...), must.Sprint(test))
	}
}

// Guards against the removal of a replica that has just joined after the loss of a disk, because
// the one before it at the same address has answered this leader.
func TestReplicaThatHasNotAnsweredYetIsNotTakenForTheLostOne(t *testing.T) {
	lost, successor := memberAt("c", "3", quorum.Voter, false), memberAt("d", "3", quorum.Learner, true)
	lost.answered, successor.answered = true, false
	r := newReconciler(3)
	must.Eq(t, ChangePromote+" d", nextChange(&r, 0, append(threeVoters(true)[:2], lost, successor)...))
}
