package operator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/agreement"
)

// countingLog counts the confirmations, each of which takes a while.
type countingLog struct {
	agreement.Log
	rounds atomic.Int32
	failed atomic.Bool
}

const roundTime = 5 * time.Millisecond

func (l *countingLog) Confirm(context.Context) error {
	time.Sleep(roundTime)
	l.rounds.Add(1)
	if l.failed.Load() {
		return errors.New("no quorum")
	}
	return nil
}

// Two hundred polls a second cost two hundred rounds of messages between the control hosts.
func TestPollsShareAConfirmationThatStartedAfterThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{}
		c := newConfirmer(log)
		for range 200 {
			began := time.Now().Add(-500 * time.Millisecond)
			age, err := c.confirmSince(t.Context(), began)
			must.NoError(t, err)
			must.Less(t, reuseFor, age)
			time.Sleep(roundTime)
		}
		must.LessEq(t, 9, int(log.rounds.Load())) // 2 s, in intervals of reuseFor, and one to begin with
	})
}

// A poll that begins after a confirmation could otherwise miss a version that was accepted
// between the two.
func TestConfirmationBeforeAPollDoesNotCoverIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{}
		c := newConfirmer(log)
		_, err := c.confirmSince(t.Context(), time.Now())
		must.NoError(t, err)
		_, err = c.confirmSince(t.Context(), time.Now())
		must.NoError(t, err)
		must.Eq(t, 2, log.rounds.Load())
	})
}

// A failed confirmation must not be reused, nor must one be that is followed by a failure
// after its time.
func TestFailedConfirmationIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{}
		c := newConfirmer(log)
		began := time.Now().Add(-time.Second)
		log.failed.Store(true)
		_, err := c.confirmSince(t.Context(), began)
		must.Error(t, err)
		log.failed.Store(false)
		_, err = c.confirmSince(t.Context(), began)
		must.NoError(t, err)
		log.failed.Store(true)
		time.Sleep(reuseFor)
		_, err = c.confirmSince(t.Context(), began)
		must.Error(t, err)
	})
}
