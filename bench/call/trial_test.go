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

// Under any sequence of faults, a key is executed at most once, a request that is
// reported as not-run was not executed, and each answer that arrives complete is the
// right one for its request.
func TestReportedOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := steps().Draw(rt, "script")
		var result call.Result
		synctest.Test(t, func(*testing.T) {
			trial := call.NewTrial(call.Times{Deadline: 2 * time.Second, Settle: 15 * time.Minute})
			result = trial.Run(script)
			time.Sleep(time.Hour)
		})
		if len(result.Violations) > 0 {
			rt.Fatalf("%v", result.Violations)
		}
	})
}

func TestTrialCountsExecutionsAndResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trial := call.NewTrial(call.Times{Deadline: 2 * time.Second, Settle: time.Minute})
		result := trial.Run([]call.Step{{Key: 1}, {Kind: call.Pause}, {Key: 1, Host: 1}, {Kind: call.Pause}, {Key: 1, Body: 1}, {Key: 2}, {}})
		must.Eq(t, 5, result.Sent)
		must.SliceEmpty(t, result.Violations)
		must.Eq(t, 4, result.Outcomes["answer"])
		must.Eq(t, 1, result.Outcomes["not-run"])
		time.Sleep(time.Hour)
	})
}
