package host

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/pause"
)

const (
	stopTimeout      = 100 * 365 * 24 * time.Hour // effectively unlimited: a planned stop waits for all requests in flight
	drainPoll        = 20 * time.Millisecond
	progressInterval = 5 * time.Second
	settleTimeout    = 30 * time.Second
)

// Shares of the limit of a planned stop, at whose end the process may be killed.
const (
	outcomeShare = 7.0 / 8   // then requests without a response get their outcome, which takes time to send
	exitShare    = 19.0 / 20 // then the process exits
)

// stopLimit returns the maximum duration of a planned stop.
func stopLimit(cfg *settings.Settings) time.Duration {
	if cfg.Host.StopLimitSeconds > 0 {
		return seconds(cfg.Host.StopLimitSeconds * exitShare)
	}
	return stopTimeout
}

// drainHooks are called in the course of a planned stop.
type drainHooks struct {
	report        func(ctx context.Context) // reports the draining state to the control hosts
	endRequestsAt func(at time.Time)        // sets when requests without a response get their outcome
	closeListener func()                    // stops accepting connections and refuses further requests
}

// drain takes this host out of address responses and accepts connections until
// the TTL of the last response that any host gave has expired. It then accepts no
// more, and waits for requests in flight and for unsettled claims. If the stop has
// a limit, requests that have no response shortly before it get their outcome;
// responses that have begun are cut at the end of the context.
func drain(ctx context.Context, state *State, settler *control.Settler, hooks drainHooks, logger hclog.Logger) {
	signal.Ignore(syscall.SIGTERM) // a second signal must not cut the drain short
	state.draining.Store(true)
	go hooks.report(ctx) // an unresponsive control host must not delay the drain
	leave := seconds(state.cfg.Host.LeaveSeconds)
	if limit := state.cfg.Host.StopLimitSeconds; limit > 0 {
		rest := seconds(limit * outcomeShare)
		leave = min(leave, rest)
		hooks.endRequestsAt(time.Now().Add(rest))
	}
	logger.Info("draining", append(progress(state), "endsAt", endOf(ctx))...)
	stopLog := logProgress(ctx, state, logger)
	defer stopLog()
	pause.For(ctx, leave)
	hooks.closeListener()
	for {
		inFlight, _ := state.requests.InFlight(time.Now())
		if inFlight == 0 || !pause.For(ctx, drainPoll) {
			break
		}
	}
	settling, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if left := settler.Wait(settling); left > 0 {
		logger.Warn("claims left unsettled; retried requests will get state unknown", "claims", left)
	}
	logger.Info("drained", progress(state)...)
}

func progress(state *State) []any {
	return heldFields(state.requests.Held(time.Now()))
}

// logProgress periodically logs the requests in flight until stop is called.
func logProgress(ctx context.Context, state *State, logger hclog.Logger) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for pause.For(ctx, progressInterval) {
			logger.Info("draining", progress(state)...)
		}
	}()
	return cancel
}
