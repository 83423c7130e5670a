package host

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/world/pause"
)

const (
	stopTimeout      = 100 * 365 * 24 * time.Hour // a planned stop waits for what is in flight
	drainPoll        = 20 * time.Millisecond
	progressInterval = 5 * time.Second
	settleTimeout    = 30 * time.Second
)

// drainHooks are what a planned stop does to others' ways to this host.
type drainHooks struct {
	report        func(ctx context.Context) // tells the control hosts that it drains
	closeListener func(ctx context.Context) // takes no further connections
}

// drain leaves the address answers, keeps accepting until the lifetime of the
// last answer that any host gave has passed, and then waits for what is in
// flight, with no more connections taken, and for the claims that are not settled yet. Only the context's end,
// which a setting may bring about, cuts it short.
func drain(ctx context.Context, state *State, settler *control.Settler, doors drainHooks, logger hclog.Logger) {
	signal.Ignore(syscall.SIGTERM) // a second one must not cut what the first one waits for
	state.draining.Store(true)
	go doors.report(ctx) // a control host that does not answer takes no time from the callers
	logger.Info("draining", progress(state)...)
	stopLog := logProgress(ctx, state, logger)
	defer stopLog()
	pause.For(ctx, seconds(state.cfg.Host.LeaveSeconds))
	go doors.closeListener(ctx)
	for {
		inFlight, _ := state.requests.InFlight(time.Now())
		if inFlight == 0 || !pause.For(ctx, drainPoll) {
			break
		}
	}
	settling, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if left := settler.Wait(settling); left > 0 {
		logger.Warn("claims left unsettled: their resends will be told unknown", "claims", left)
	}
	logger.Info("drained", progress(state)...)
}

func progress(state *State) []any {
	inFlight, oldest := state.requests.InFlight(time.Now())
	return []any{"inFlight", inFlight, "oldestMs", oldest.Milliseconds()}
}

// logProgress tells from time to time how much is left, until it is stopped.
func logProgress(ctx context.Context, state *State, logger hclog.Logger) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for pause.For(ctx, progressInterval) {
			logger.Info("draining", progress(state)...)
		}
	}()
	return cancel
}
