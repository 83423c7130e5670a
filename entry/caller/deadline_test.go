package caller

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/contract"
)

func newTestContext(t *testing.T, host *stop) *deadlineContext {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", http.NoBody)
	must.NoError(t, err)
	c := newDeadlineContext(r, contract.New(), "", host)
	t.Cleanup(c.stop)
	return c
}

func TestEndOfAStopIsSeenBeforeItsWatchHasRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := newStop()
		c := newTestContext(t, host)
		must.NoError(t, c.Err())
		host.end()
		must.Error(t, c.Err())
		must.ErrorIs(t, c.cause(), errHostStopping)
	})
}

func TestNothingEndsTheContextOfAResponseThatHasBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := newStop()
		c := newTestContext(t, host)
		c.deadline = time.Now()
		c.disarm()
		must.True(t, c.outliveStop())
		host.end()
		c.endWithHost() // a watch that had been started
		c.expire()      // a timer that had fired
		synctest.Wait()
		must.NoError(t, c.Err())
	})
}

// The text of a time includes its monotonic clock reading.
func TestEndOfAStopDoesNotMoveWithTheWallClock(t *testing.T) {
	h := New(Config{})
	at := time.Now().Add(time.Hour)
	h.EndRequestsAt(at)
	must.Eq(t, at.String(), h.stop.earliest(time.Time{}).String())
	must.Eq(t, at.String(), h.stop.earliest(at.Add(time.Second)).String())
	before := at.Add(-time.Second)
	must.Eq(t, before.String(), h.stop.earliest(before).String())
}
