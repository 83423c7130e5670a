package caller_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a ticket or an in-flight count that a request keeps when it moves.
// Both would leave no free slot at one of the services.
func TestMovedRequestsLeaveNothingBehind(t *testing.T) {
	const movedRequests = 2
	synctest.Test(t, func(t *testing.T) {
		h := newChangingHost(t)
		replies := make(chan heldReply, movedRequests)
		go func() { _, _ = h.post(t, "/x/1") }()
		synctest.Wait()
		for n := range movedRequests {
			go func() {
				got, err := h.post(t, fmt.Sprintf("/x/%d", n+2))
				must.NoError(t, err)
				replies <- got
			}()
		}
		time.Sleep(changeDelay)
		h.advance(t, 94, "route trial at a.example /x/: deadline 8s, single # Marie: moved\n")
		time.Sleep(changeDelay)
		h.advance(t, 95, "route shop=1,trial=99 at a.example /x/: deadline 8s, single # Marie: split\n")
		h.advance(t, 96, "route trial at a.example /x/: deadline 8s, single # Marie: moved\n")
		for range movedRequests {
			got := <-replies
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, "trial", got.body)
		}
		h.advance(t, 97, "route shop at a.example /x/: deadline 8s, single # Marie: back\n")
		got, err := h.post(t, "/x/9")
		must.NoError(t, err)
		must.Eq(t, "shop", got.body)
		must.Eq(t, 2, h.runs["shop"].of(""))
		must.Eq(t, movedRequests, h.runs["trial"].of(""))
		inFlight, _ := h.entry.backlog.InFlight(time.Now())
		must.Zero(t, inFlight)
	})
}
