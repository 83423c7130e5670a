package state_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func keyNamed(name string) *wire.ClaimKey {
	return &wire.ClaimKey{Service: "checkout", Caller: "studio", IdempotencyKey: name}
}

func claimAt(m *state.Machine, clock time.Duration, key, id string) wire.ClaimState {
	req := &wire.ClaimRequest{Key: keyNamed(key), ClaimId: id, Holder: "entry-1", RetainMs: time.Hour.Milliseconds()}
	return m.Apply(&wire.Command{Clock: int64(clock), Body: &wire.Command_Claim{Claim: req}}).GetClaim().GetState()
}

func release(m *state.Machine, key, id string) bool {
	req := &wire.ReleaseRequest{Key: keyNamed(key), ClaimId: id}
	return m.Apply(&wire.Command{Body: &wire.Command_Release{Release: req}}).GetRelease().GetReleased()
}

func complete(m *state.Machine, key, id string, answer *wire.StoredAnswer) bool {
	req := &wire.CompleteRequest{Key: keyNamed(key), ClaimId: id, Answer: answer}
	return m.Apply(&wire.Command{Body: &wire.Command_Complete{Complete: req}}).GetComplete().GetStored()
}

func submit(m *state.Machine, req *wire.SubmitRequest) *wire.SubmitResponse {
	return m.Apply(&wire.Command{Body: &wire.Command_Submit{Submit: req}}).GetSubmit()
}

func TestReleaseReceivedBeforeItsClaim(t *testing.T) {
	m := state.New()
	must.True(t, release(m, "k", "late"))
	must.Eq(t, wire.ClaimState_CLAIM_RELEASED, claimAt(m, 0, "k", "late"))
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, claimAt(m, 0, "k", "resend"))
	must.Eq(t, wire.ClaimState_CLAIM_RELEASED, claimAt(m, 0, "k", "late"))
}

func TestReleasedClaimIsNotGrantedAgain(t *testing.T) {
	m := state.New()
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, claimAt(m, 0, "k", "one"))
	must.True(t, release(m, "k", "one"))
	must.True(t, release(m, "k", "one"))
	must.Eq(t, wire.ClaimState_CLAIM_RELEASED, claimAt(m, 0, "k", "one"))
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, claimAt(m, 0, "k", "two"))
}

func TestClaimExpiresOnTheGroupsClock(t *testing.T) {
	m := state.New()
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, claimAt(m, 0, "k", "one"))
	// A step of the wall clock expires nothing.
	m.Apply(&wire.Command{At: int64(1000 * time.Hour)})
	must.Eq(t, wire.ClaimState_CLAIM_HELD, claimAt(m, time.Hour-time.Second, "k", "two"))
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, claimAt(m, time.Hour+time.Minute, "k", "two"))
}

func TestCompletedClaimIsNotReleased(t *testing.T) {
	m := state.New()
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, claimAt(m, 0, "k", "one"))
	must.True(t, complete(m, "k", "one", &wire.StoredAnswer{Status: 201}))
	must.False(t, release(m, "k", "one"))
	must.Eq(t, wire.ClaimState_CLAIM_COMPLETED, claimAt(m, 0, "k", "two"))
}

func TestClaimWithoutAnOutcomeIsUnknown(t *testing.T) {
	m := state.New()
	claimAt(m, 0, "k", "one")
	must.True(t, complete(m, "k", "one", &wire.StoredAnswer{BodyDropped: true}))
	req := &wire.ClaimRequest{Key: keyNamed("k"), ClaimId: "two"}
	response := m.Apply(&wire.Command{Body: &wire.Command_Claim{Claim: req}}).GetClaim()
	must.Eq(t, wire.ClaimState_CLAIM_HELD, response.GetState())
	must.True(t, response.GetUnknown())
}

func TestStoredAnswersAreBounded(t *testing.T) {
	m := state.New()
	body := bytes.Repeat([]byte("x"), 60<<10)
	for n := range 1500 {
		key := fmt.Sprintf("k%d", n)
		claimAt(m, 0, key, "one")
		must.True(t, complete(m, key, "one", &wire.StoredAnswer{Status: 200, Body: body}))
	}
	data, err := m.Snapshot()
	must.NoError(t, err)
	must.Less(t, 50<<20, len(data))
}

func TestClaimsAreBoundedInBytes(t *testing.T) {
	m := state.New()
	long := strings.Repeat("k", 64<<10)
	full := false
	for n := range 3000 {
		if claimAt(m, 0, fmt.Sprintf("%s%d", long, n), "one") == wire.ClaimState_CLAIM_FULL {
			full = true
			break
		}
	}
	must.True(t, full)
	must.Eq(t, wire.ClaimState_CLAIM_GRANTED, claimAt(m, 2*time.Hour, "room again", "one"))
}

func TestRetriedSubmissionReturnsItsFirstResult(t *testing.T) {
	m := state.New()
	first := &wire.SubmitRequest{SubmissionId: "a", Text: "one"}
	must.True(t, submit(m, first).GetAccepted())
	must.True(t, submit(m, &wire.SubmitRequest{SubmissionId: "b", BaseVersion: 1, Text: "two"}).GetAccepted())
	retried := submit(m, first)
	must.True(t, retried.GetAccepted())
	must.Eq(t, 1, retried.GetVersion().GetNumber())
	other := submit(m, &wire.SubmitRequest{SubmissionId: "a", Text: "other", BaseVersion: 2})
	must.False(t, other.GetAccepted())
}

func TestRefusedSubmissionReturnsTheWinner(t *testing.T) {
	m := state.New()
	must.True(t, submit(m, &wire.SubmitRequest{SubmissionId: "a", Text: "winner", Author: "anna"}).GetAccepted())
	refused := submit(m, &wire.SubmitRequest{SubmissionId: "b", Text: "loser"})
	must.False(t, refused.GetAccepted())
	must.Eq(t, "winner", refused.GetWinnerText())
	must.Eq(t, "anna", refused.GetVersion().GetAuthor())
}

func TestRollbackIsANewVersionWithTheOldText(t *testing.T) {
	m := state.New()
	submit(m, &wire.SubmitRequest{SubmissionId: "a", Text: "one"})
	submit(m, &wire.SubmitRequest{SubmissionId: "b", Text: "two", BaseVersion: 1})
	wrong := submit(m, &wire.SubmitRequest{SubmissionId: "c", Text: "else", BaseVersion: 2, RollbackOf: 1})
	must.False(t, wrong.GetAccepted())
	rollback := submit(m, &wire.SubmitRequest{SubmissionId: "d", Text: "one", BaseVersion: 2, RollbackOf: 1})
	must.True(t, rollback.GetAccepted())
	must.Eq(t, 3, rollback.GetVersion().GetNumber())
	must.Eq(t, 1, rollback.GetVersion().GetRollbackOf())
}

func TestTextsAreBoundedAndTheNewestIsKept(t *testing.T) {
	m := state.New()
	text := strings.Repeat("x", 1<<20)
	for n := range uint64(20) {
		must.True(t, submit(m, &wire.SubmitRequest{SubmissionId: fmt.Sprint(n), BaseVersion: n, Text: text}).GetAccepted())
	}
	_, kept := m.InForce()
	must.Eq(t, len(text), len(kept))
	old, dropped := m.Version(1)
	must.NotNil(t, old)
	must.Eq(t, "", dropped)
}

// A restored replica must return the same results and snapshots as one that was
// never restarted.
func TestRestoredMachineBehavesIdentically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := state.New(), state.New()
		clock := time.Duration(0)
		for n := range rapid.IntRange(1, 60).Draw(t, "commands") {
			clock += time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second
			cmd := drawCommand(t, n, clock)
			one, two := first.Apply(cmd), second.Apply(cmd)
			must.Eq(t, one.String(), two.String())
			data, err := first.Snapshot()
			must.NoError(t, err)
			if rapid.Bool().Draw(t, "restart") {
				second = state.New()
				must.NoError(t, second.Restore(data))
			}
			again, err := second.Snapshot()
			must.NoError(t, err)
			must.True(t, bytes.Equal(data, again))
		}
	})
}

func drawCommand(t *rapid.T, n int, clock time.Duration) *wire.Command {
	key := keyNamed(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")))
	id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
	cmd := &wire.Command{Clock: int64(clock)}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		cmd.Body = &wire.Command_Claim{Claim: &wire.ClaimRequest{Key: key, ClaimId: id, RetainMs: time.Hour.Milliseconds()}}
	case 1:
		cmd.Body = &wire.Command_Complete{Complete: &wire.CompleteRequest{Key: key, ClaimId: id, Answer: &wire.StoredAnswer{Status: 200}}}
	case 2:
		cmd.Body = &wire.Command_Release{Release: &wire.ReleaseRequest{Key: key, ClaimId: id}}
	case 3:
		cmd.Body = &wire.Command_Resolve{Resolve: &wire.ResolveClaimRequest{Key: key, ClaimId: id, Resolution: state.ResolvedDidNotRun}}
	case 4:
		base := uint64(rapid.IntRange(0, 3).Draw(t, "base"))
		cmd.Body = &wire.Command_Submit{Submit: &wire.SubmitRequest{SubmissionId: id, BaseVersion: base, Text: fmt.Sprint(n)}}
	default: // announcements are common, so that some are late ones of ended instances
		cmd.Body = &wire.Command_Announce{Announce: &wire.Announcement{Instance: drawInstance(t)}}
	}
	return cmd
}

// drawInstance returns an announcement or a leave of one of a few instances. Those
// with an odd number share an address.
func drawInstance(t *rapid.T) *wire.Instance {
	number := rapid.IntRange(0, 3).Draw(t, "instance")
	incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	m := instanceOf(fmt.Sprint(number), incarnation, rapid.Uint64Range(1, 3).Draw(t, "sequence"))
	if number%2 == 0 {
		m.Address = fmt.Sprintf("10.0.1.%d:80", number)
	}
	switch rapid.IntRange(0, 4).Draw(t, "announcement") {
	case 0, 1:
		leaving(m)
	case 2:
		m = &wire.Instance{Id: m.GetId(), Gone: true} // does not state its incarnation
	case 3:
		m = &wire.Instance{Id: m.GetId(), Incarnation: incarnation, HeardBy: m.GetHeardBy(), Silent: true}
	}
	return m
}

func FuzzRestore(f *testing.F) {
	m := state.New()
	claimAt(m, 0, "k", "one")
	submit(m, &wire.SubmitRequest{SubmissionId: "a", Text: "one"})
	data, err := m.Snapshot()
	must.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := state.New()
		if m.Restore(data) != nil {
			return
		}
		first, err := m.Snapshot()
		must.NoError(t, err)
		again := state.New()
		must.NoError(t, again.Restore(first))
		second, err := again.Snapshot()
		must.NoError(t, err)
		must.True(t, bytes.Equal(first, second))
	})
}
