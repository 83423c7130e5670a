package caller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

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
