package caller_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// hangingInstance is an instance that responds until hang is set, and then
// blocks each request until it is cancelled.
type hangingInstance struct {
	hang      atomic.Bool
	ran       atomic.Int32
	cancelled chan struct{}
}

func (h *hangingInstance) handle(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.ran.Add(1)
		if h.hang.Load() {
			<-r.Context().Done()
			h.cancelled <- struct{}{}
			return
		}
		_, _ = w.Write([]byte(name))
	}
}

func TestLateRequestIsHedgedAndTheSlowerAttemptIsCancelled(t *testing.T) {
	slow := &hangingInstance{cancelled: make(chan struct{}, 1)}
	quick := &hangingInstance{cancelled: make(chan struct{}, 1)}
	entry := serveEntry(t, newEntry(t, viewsOf(httpInstance(t, slow.handle("slow")), httpInstance(t, quick.handle("quick"))), nil))
	for range 20 { // until the usual latency has been measured
		must.Eq(t, http.StatusOK, call(t, http.MethodGet, entry, "/late/x", "").status)
	}
	slow.hang.Store(true)
	before := slow.ran.Load()
	for slow.ran.Load() == before {
		must.Eq(t, "quick", call(t, http.MethodGet, entry, "/late/x", "").body)
	}
	<-slow.cancelled
}

func TestRequestsAreHedgedOnlyIfTheRuleAllowsIt(t *testing.T) {
	slow := &hangingInstance{cancelled: make(chan struct{}, 10)}
	entry := serveEntry(t, newEntry(t, viewsOf(httpInstance(t, slow.handle("slow"))), nil))
	for range 20 {
		must.Eq(t, http.StatusOK, call(t, http.MethodPost, entry, "/late/x", "").status)
	}
	slow.hang.Store(true)
	before := slow.ran.Load()
	got := call(t, http.MethodPost, entry, "/late/x", "", "Snipebeam-Deadline-Ms", "300")
	must.Eq(t, http.StatusGatewayTimeout, got.status)
	must.Eq(t, before+1, slow.ran.Load())
}
