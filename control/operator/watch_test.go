package operator_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/delta"
	"github.com/snipebeam/snipebeam/world/wire"
)

// quorumLog applies commands synchronously and takes confirmTime to confirm.
type quorumLog struct {
	machine    *state.Machine
	quorumLost atomic.Bool
	confirms   atomic.Int32
}

const confirmTime = 5 * time.Millisecond

func (l *quorumLog) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	return l.machine.Apply(cmd), nil
}

func (l *quorumLog) Confirm(ctx context.Context) error {
	l.confirms.Add(1)
	select {
	case <-time.After(confirmTime):
	case <-ctx.Done():
	}
	if l.quorumLost.Load() {
		<-ctx.Done()
		return agreement.ErrNoQuorum
	}
	return nil
}

func (l *quorumLog) Status() agreement.Status { return agreement.Status{} }

func newRules() (*operator.Rules, *quorumLog) {
	log := &quorumLog{machine: state.New()}
	return operator.New("control-1", log, log.machine, fleet.New()), log
}

func text(n int) string {
	var lines strings.Builder
	for line := range 50 {
		_, _ = fmt.Fprintf(&lines, "route a GET /p%d # Marie: why\n", line)
	}
	_, _ = fmt.Fprintf(&lines, "route b%d # Marie: why\n", n)
	return lines.String()
}

func submit(t *testing.T, rules *operator.Rules, n int) {
	response, err := rules.Submit(context.Background(), &wire.SubmitRequest{SubmissionId: fmt.Sprint(n), BaseVersion: uint64(n - 1), Text: text(n)})
	must.NoError(t, err)
	must.True(t, response.GetAccepted())
}

func TestWatchWakesWhenAVersionIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, _ := newRules()
		submit(t, rules, 1)
		go func() {
			time.Sleep(2 * time.Second)
			submit(t, rules, 2)
		}()
		start := time.Now()
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 10_000})
		must.NoError(t, err)
		must.Eq(t, 2*time.Second, time.Since(start))
		must.Eq(t, 2, got.GetVersion().GetNumber())
		newer, err := delta.Apply(text(1), got.GetDelta())
		must.NoError(t, err)
		must.Eq(t, text(2), newer)
		must.Eq(t, got.GetVersion().GetDigest(), delta.Digest(newer))
		must.Eq(t, "", got.GetText())
		got, err = rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, Whole: true})
		must.NoError(t, err)
		must.Eq(t, text(2), fullText(t, got))
	})
}

func TestFirstResponseIsConfirmedAndAnIdleOneToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newRules()
		submit(t, rules, 1)
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{WaitMs: 3000})
		must.NoError(t, err)
		must.False(t, got.GetStale())
		must.Eq(t, text(1), fullText(t, got))
		log.quorumLost.Store(true)
		got, err = rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000})
		must.NoError(t, err)
		must.True(t, got.GetStale())
		submit(t, rules, 2)
		start := time.Now()
		got, err = rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000})
		must.NoError(t, err)
		must.Zero(t, time.Since(start))
		must.True(t, got.GetStale())
	})
}

func TestManyPollsShareAConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newRules()
		submit(t, rules, 1)
		done := make(chan *wire.WatchResponse)
		const hosts = 3000
		for range hosts {
			go func() {
				got, _ := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1, WaitMs: 3000})
				done <- got
			}()
		}
		for range hosts {
			must.False(t, (<-done).GetStale())
		}
		must.LessEq(t, 3, log.confirms.Load())
	})
}

func TestConfirmationStartedBeforeACallDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rules, log := newRules()
		submit(t, rules, 1)
		go func() { _, _ = rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1}) }()
		time.Sleep(confirmTime / 2)
		start := time.Now()
		got, err := rules.Watch(t.Context(), &wire.WatchRequest{KnownVersion: 1})
		must.NoError(t, err)
		must.False(t, got.GetStale())
		must.Eq(t, 2, log.confirms.Load())
		must.Eq(t, confirmTime, time.Duration(got.GetConfirmAgeNs()))
		must.Eq(t, confirmTime/2+confirmTime, time.Since(start))
	})
}

// fullText returns the text of a response that contains the full text.
func fullText(t *testing.T, got *wire.WatchResponse) string {
	t.Helper()
	must.True(t, got.GetWhole())
	all, err := delta.Apply("", got.GetDelta())
	must.NoError(t, err)
	return all
}
