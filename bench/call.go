package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/call"
	"github.com/snipebeam/snipebeam/bench/figure"
)

func init() {
	register("call", measureTrials)
	register("call", measurePoison)
	register("call", measureSilentLinks)
}

// Size and bounds of the generated trials.
const (
	callTrials           = 640
	callConcurrentTrials = 64
	callSteps            = 40
	callSeed             = 20261204
	callCasesBound       = 10_000
	callDeadline         = 200 * time.Millisecond
	callSettle           = 800 * time.Millisecond
	poisonHosts          = 29
	poisonInstances      = 10
	poisonResends        = 100
	poisonLostBound      = 2
	silentNoticeBoundMs  = 2500 // 2 s of silence, and the time until the next check
)

// measureTrials runs generated sequences of requests and faults, and counts the
// requests that broke a guarantee to their callers.
func measureTrials(emit func(figure.Figure)) error {
	var mu sync.Mutex
	var group sync.WaitGroup
	total := call.Result{Outcomes: map[string]int{}}
	slots := make(chan struct{}, callConcurrentTrials)
	for n := range callTrials {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			trial := call.NewTrial(call.Times{Deadline: callDeadline, Settle: callSettle})
			result := trial.Run(script(rand.New(rand.NewPCG(callSeed, uint64(n)))))
			mu.Lock()
			defer mu.Unlock()
			total.Add(result)
		})
	}
	group.Wait()
	for _, line := range total.Violations {
		fmt.Fprintln(os.Stderr, "call: "+line)
	}
	note := fmt.Sprintf("%d requests, told %v", total.Sent, total.Outcomes)
	emit(figure.AtLeast("call", "generatedCases", float64(total.Sent), "requests", callCasesBound))
	emit(figure.AtMost("call", "executedTwice", float64(total.ExecutedTwice), "keys", 0).WithNote(note))
	emit(figure.AtMost("call", "notRunButRan", float64(total.NotRunButRan), "requests", 0).WithNote(note))
	emit(figure.AtMost("call", "wrongAnswers", float64(total.WrongAnswers), "requests", 0).WithNote(note))
	return nil
}

func script(random *rand.Rand) []call.Step {
	kinds := []call.StepKind{call.Send, call.Send, call.Send, call.Send, call.SetFault, call.SetLoss, call.Pause, call.Crash}
	steps := make([]call.Step, callSteps)
	for n := range steps {
		steps[n] = call.Step{
			Kind: kinds[random.IntN(len(kinds))], Host: random.IntN(call.Hosts), Target: random.IntN(call.Instances),
			Key: random.IntN(4), Body: random.IntN(8) / 7, Fault: call.Fault(random.IntN(int(call.Down) + 1)),
			Loss: call.Loss(random.IntN(int(call.DropResponses) + 1)),
		}
	}
	return steps
}

func measurePoison(emit func(figure.Figure)) error {
	result, err := call.Poison(poisonHosts, poisonInstances, poisonResends)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("resent %d times over %d hosts; %d of %d innocent requests had no answer", poisonResends, poisonHosts, result.HealthyFailed, result.HealthySent)
	emit(figure.AtMost("call", "poisonInstancesLost", float64(result.InstancesLost), "instances", poisonLostBound).WithNote(note))
	return nil
}

func measureSilentLinks(emit func(figure.Figure)) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var group sync.WaitGroup
	var waiting, uploading time.Duration
	var waitErr, uploadErr error
	group.Go(func() { waiting, waitErr = call.SilentLink(ctx, false) })
	group.Go(func() { uploading, uploadErr = call.SilentLink(ctx, true) })
	group.Wait()
	if waitErr != nil || uploadErr != nil {
		return errors.Errorf("silent links: %v, %v", waitErr, uploadErr)
	}
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	emit(figure.AtMost("call", "silentLinkNoticeMs", ms(waiting), "ms", silentNoticeBoundMs).WithNote("while an answer is awaited"))
	emit(figure.AtMost("call", "silentLinkNoticeUploadMs", ms(uploading), "ms", silentNoticeBoundMs).WithNote("during an upload"))
	return nil
}
