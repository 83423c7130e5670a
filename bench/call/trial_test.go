package call_test

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/call"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func steps() *rapid.Generator[[]call.Step] {
	kinds := []call.StepKind{call.Send, call.Send, call.Send, call.Send, call.SetFault, call.SetLoss, call.Pause, call.Crash}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call.Step {
		return call.Step{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Host: rapid.IntRange(0, call.Hosts-1).Draw(t, "host"),
			Target: rapid.IntRange(0, call.Instances-1).Draw(t, "target"), Key: rapid.IntRange(0, 3).Draw(t, "key"),
			Body: rapid.IntRange(0, 1).Draw(t, "body"), Fault: call.Fault(rapid.IntRange(0, int(call.Down)).Draw(t, "fault")),
			Loss: call.Loss(rapid.IntRange(0, int(call.DropResponses)).Draw(t, "loss")),
		}
	}), 1, 40)
}

// Whatever fails, a key runs at most once, "not run" is true, and each answer
// is the whole answer to its own request.
func TestWhatCallersAreToldIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := steps().Draw(rt, "script")
		var verdict call.Result
		synctest.Test(t, func(*testing.T) {
			trial := call.NewTrial(call.Times{Deadline: 2 * time.Second, Settle: 15 * time.Minute})
			verdict = trial.Run(script)
			time.Sleep(time.Hour)
		})
		if len(verdict.Violations) > 0 {
			rt.Fatalf("%v", verdict.Violations)
		}
	})
}

func TestATrialSeesExecutionsAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trial := call.NewTrial(call.Times{Deadline: 2 * time.Second, Settle: time.Minute})
		verdict := trial.Run([]call.Step{{Key: 1}, {Kind: call.Pause}, {Key: 1, Host: 1}, {Kind: call.Pause}, {Key: 1, Body: 1}, {Key: 2}, {}})
		must.Eq(t, 5, verdict.Sent)
		must.SliceEmpty(t, verdict.Violations)
		must.Eq(t, 4, verdict.Outcomes["answer"])
		must.Eq(t, 1, verdict.Outcomes["not-run"])
		time.Sleep(time.Hour)
	})
}
