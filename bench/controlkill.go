package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/bench/figure"
	"github.com/snipebeam/snipebeam/world/wire"
)

func init() { register("control", measureLeaderLoss) }

// Size, timing and bound of the trials that stop the leader.
const (
	pauseBoundMs     = 1000
	killTrials       = 5
	killClients      = 12
	beforeKill       = 500 * time.Millisecond
	afterKill        = 2 * time.Second
	killClaimTimeout = 400 * time.Millisecond // before a client tries the next host
)

// claimRecorder records the claims that clients were granted, and when.
type claimRecorder struct {
	mu            sync.Mutex
	granted       []*wire.ClaimRequest
	responseTimes []time.Time
}

func (w *claimRecorder) add(req *wire.ClaimRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.granted = append(w.granted, req)
	w.responseTimes = append(w.responseTimes, time.Now())
}

// longestPause returns the longest time without a response after a moment.
func (w *claimRecorder) longestPause(after time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortFunc(w.responseTimes, time.Time.Compare)
	last, longest := after, time.Duration(0)
	for _, at := range w.responseTimes {
		if at.Before(after) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return longest
}

// claimUntil claims new keys until stop is set. A request without a response
// is sent again to the next host with the same claim id, as entry hosts do.
func (w *claimRecorder) claimUntil(g *controlGroup, first int, stop *atomic.Bool) {
	at := first
	for !stop.Load() {
		req := newClaim()
		for !stop.Load() {
			ctx, cancel := context.WithTimeout(context.Background(), killClaimTimeout)
			response, err := g.claims(at%len(g.cluster.Controls)).Claim(ctx, req)
			cancel()
			if err == nil && response.GetState() == wire.ClaimState_CLAIM_GRANTED {
				w.add(req)
				break
			}
			at++
		}
	}
}

// stopLeader signals the leader to end while the group is under load, and
// returns the longest pause between responses.
func stopLeader(g *controlGroup, w *claimRecorder, signal syscall.Signal) (time.Duration, error) {
	leader, err := g.leader()
	if err != nil {
		return 0, err
	}
	var stop atomic.Bool
	var group sync.WaitGroup
	for n := range killClients {
		group.Go(func() { w.claimUntil(g, n, &stop) })
	}
	time.Sleep(beforeKill)
	signalled := time.Now()
	err = g.cluster.Controls[leader].Signal(signal)
	time.Sleep(afterKill)
	stop.Store(true)
	group.Wait()
	if err != nil {
		return 0, errors.Wrap(err, "signal the leader")
	}
	_ = g.cluster.Controls[leader].Wait(groupReadyLimit)
	pause := w.longestPause(signalled)
	if err := g.restart(leader); err != nil {
		return 0, err
	}
	return pause, g.awaitQuorum()
}

// measureLeaderLoss repeatedly ends the leader under load, and then checks that
// every granted claim and every accepted change is still there.
func measureLeaderLoss(emit func(figure.Figure)) error {
	g, err := newControlGroup(3)
	if err != nil {
		return err
	}
	defer g.close()
	w := &claimRecorder{}
	var pauses []time.Duration
	for n := range killTrials {
		if err := submitNext(g, uint64(n)); err != nil {
			return err
		}
		pause, err := stopLeader(g, w, syscall.SIGKILL)
		if err != nil {
			return err
		}
		pauses = append(pauses, pause)
	}
	stopped, err := stopLeader(g, w, syscall.SIGTERM)
	if err != nil {
		return err
	}
	emit(figure.AtMost("control", "leaderLossPauseMs", ms(slices.Max(pauses)), "ms", pauseBoundMs).
		WithNote(fmt.Sprintf("longest of %d SIGKILLs of the leader under load: %v", killTrials, pauses)))
	emit(figure.Plain("control", "leaderStopPauseMs", ms(stopped), "ms").WithNote("graceful stop of the leader under load"))
	return emitLosses(emit, g, w)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func submitNext(g *controlGroup, base uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	response, err := g.rules(0).Submit(ctx, &wire.SubmitRequest{
		SubmissionId: fmt.Sprintf("change-%d", base), BaseVersion: base, Text: benchRules(base), Author: "bench", Reason: "measurement",
	})
	if err == nil && !response.GetAccepted() {
		err = errors.New(response.GetRefusal())
	}
	return errors.Wrap(err, "submit")
}

func emitLosses(emit func(figure.Figure), g *controlGroup, w *claimRecorder) error {
	lostClaims := 0
	for _, req := range w.granted {
		if err := claimOnce(g.claims(0), req); err != nil {
			lostClaims++
		}
	}
	history, err := g.rules(0).History(context.Background(), &wire.HistoryRequest{})
	if err != nil {
		return errors.Wrap(err, "read history")
	}
	lostChanges := killTrials - len(history.GetVersions())
	emit(figure.AtMost("control", "lostClaimsAfterKills", float64(lostClaims), "claims", 0).
		WithNote(fmt.Sprintf("of %d granted before, between and after %d kills", len(w.granted), killTrials)))
	emit(figure.AtMost("control", "lostChangesAfterKills", float64(lostChanges), "changes", 0))
	return nil
}
