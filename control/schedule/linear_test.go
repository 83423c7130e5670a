package schedule_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/schedule"
	"github.com/snipebeam/snipebeam/world/wire"
)

// rulesObject stands for the accepted rules among the objects of a history.
const rulesObject = "rules"

// object returns which object an operation is about: the rules or one key.
func object(op schedule.Operation) string {
	switch body := op.Command().GetBody().(type) {
	case *wire.Command_Claim:
		return body.Claim.GetKey().GetIdempotencyKey()
	case *wire.Command_Complete:
		return body.Complete.GetKey().GetIdempotencyKey()
	case *wire.Command_Release:
		return body.Release.GetKey().GetIdempotencyKey()
	}
	return rulesObject
}

// rulesModel is a register that is changed by compare-and-set.
type rulesModel struct {
	version uint64
	decided string // submissions with their results
}

func (m rulesModel) step(op schedule.Operation) (bool, rulesModel) {
	req := op.Command().GetSubmit()
	if req == nil {
		return op.Version() == m.version, m
	}
	if _, rest, ok := strings.Cut(m.decided, req.GetSubmissionId()+"="); ok {
		first, _, _ := strings.Cut(rest, ";")
		return !op.Completed() || first == outcome(op.Result().GetSubmit()), m
	}
	next := m
	want := &wire.SubmitResponse{Version: &wire.Version{Number: m.version}}
	if req.GetBaseVersion() == m.version {
		next.version++
		want = &wire.SubmitResponse{Accepted: true, Version: &wire.Version{Number: next.version}}
	}
	next.decided += req.GetSubmissionId() + "=" + outcome(want) + ";"
	return !op.Completed() || outcome(op.Result().GetSubmit()) == outcome(want), next
}

func outcome(r *wire.SubmitResponse) string {
	return fmt.Sprintf("%t %d", r.GetAccepted(), r.GetVersion().GetNumber())
}

// claimModel is one key.
type claimModel struct {
	holder    string
	completed bool
	released  string
}

func (m claimModel) step(op schedule.Operation) (bool, claimModel) {
	switch body := op.Command().GetBody().(type) {
	case *wire.Command_Claim:
		want, next := m.claim(body.Claim.GetClaimId())
		return !op.Completed() || op.Result().GetClaim().GetState() == want, next
	case *wire.Command_Complete:
		stored := m.holder == body.Complete.GetClaimId()
		next := m
		next.completed = m.completed || stored
		return !op.Completed() || op.Result().GetComplete().GetStored() == stored, next
	case *wire.Command_Release:
		want, next := m.release(body.Release.GetClaimId())
		return !op.Completed() || op.Result().GetRelease().GetReleased() == want, next
	}
	return false, m
}

func (m claimModel) claim(id string) (wire.ClaimState, claimModel) {
	next := m
	switch {
	case m.holder != "" && m.completed && (m.holder == id || !m.wasReleased(id)):
		return wire.ClaimState_CLAIM_COMPLETED, m
	case m.holder == id:
		return wire.ClaimState_CLAIM_GRANTED, m
	case m.wasReleased(id):
		return wire.ClaimState_CLAIM_RELEASED, m
	case m.holder != "":
		return wire.ClaimState_CLAIM_HELD, m
	}
	next.holder = id
	return wire.ClaimState_CLAIM_GRANTED, next
}

func (m claimModel) wasReleased(id string) bool { return strings.Contains(m.released, id+";") }

func (m claimModel) release(id string) (bool, claimModel) {
	if m.holder == id && m.completed {
		return false, m
	}
	next := m
	if !m.wasReleased(id) {
		next.released += id + ";"
	}
	if m.holder == id {
		next.holder = ""
	}
	return true, next
}

// modelOf makes a porcupine model of a step function.
func modelOf[S comparable](step func(S, schedule.Operation) (bool, S)) porcupine.Model {
	return porcupine.Model{
		Init: func() any {
			var first S
			return first
		},
		Step: func(state, input, _ any) (bool, any) { return step(state.(S), input.(schedule.Operation)) },
	}
}

func histories(operations []schedule.Operation) map[string][]porcupine.Operation {
	all := map[string][]porcupine.Operation{}
	for n, op := range operations {
		end := int64(op.End())
		if !op.Completed() {
			end = math.MaxInt64
		}
		name := object(op)
		all[name] = append(all[name], porcupine.Operation{ClientId: n, Input: op, Call: int64(op.Start()), Return: end})
	}
	return all
}

func TestHistoriesAreLinearizable(t *testing.T) {
	checked := 0
	for seed := range uint64(150) {
		report := schedule.Run(schedule.NewRandom(9000+seed), schedule.WithSteps(300))
		must.Eq(t, "", describe(report), must.Sprintf("seed %d", 9000+seed))
		for name, history := range histories(report.Operations()) {
			model := modelOf(claimModel.step)
			if name == rulesObject {
				model = modelOf(rulesModel.step)
			}
			must.True(t, porcupine.CheckOperations(model, history), must.Sprintf("seed %d, history of %s", 9000+seed, name))
			checked += len(history)
		}
	}
	must.Greater(t, 1000, checked)
}
