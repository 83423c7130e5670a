package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/world/logging"
)

func init() { register("see", measureDecisionLog) }

const (
	decisionLines     = 200_000
	decisionRate      = 20_000 // lines per second
	typicalCandidates = 10     // of a decision
)

func decisionOf(candidates int) *decision.Decision {
	d := &decision.Decision{
		ID: "0193a1c2-aaaa-bbbb-cccc-000000000001", Kind: decision.Route, At: time.Now(), Host: "entry-1", Service: "catalogue", Method: "GET",
		Path: "/lookup/titanium", Caller: "studio-7", Rule: "rules:3:7", Version: 12, Attempt: 1, Instance: "catalogue-4",
		Reason: "least", Latency: 5 * time.Millisecond, Status: 200, Outcome: "answer",
	}
	for c := range candidates {
		d.Candidates = append(d.Candidates, decision.Candidate{Instance: fmt.Sprintf("catalogue-%d", c), State: "ready", InFlight: c})
	}
	return d
}

// measureDecisionLog writes lines at a fixed rate, and measures the time that
// one takes the writer and the number of dropped lines.
func measureDecisionLog(emit func(figure.Figure)) error {
	ctx, cancel := context.WithCancel(context.Background())
	log := decision.NewLog(logging.New("bench", "info", io.Discard))
	done := make(chan struct{})
	go func() {
		log.Run(ctx)
		close(done)
	}()
	prepared := make([]*decision.Decision, decisionLines)
	for n := range prepared {
		prepared[n] = decisionOf(typicalCandidates)
	}
	var spent time.Duration
	start := time.Now()
	for n, d := range prepared {
		if ahead := time.Duration(n)*time.Second/decisionRate - time.Since(start); ahead > time.Millisecond {
			time.Sleep(ahead)
		}
		before := time.Now()
		log.Write(d)
		spent += time.Since(before)
	}
	cancel()
	<-done
	emit(figure.Plain("see", "decisionLogNs", float64(spent.Nanoseconds())/decisionLines, "ns").WithNote("a line, on the request's path"))
	emit(figure.Plain("see", "decisionLinesDropped", float64(log.Dropped()), "lines").WithNote(fmt.Sprintf("of %d at %d a second, %d candidates each", decisionLines, decisionRate, typicalCandidates)))
	return nil
}
