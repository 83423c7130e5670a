package local_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/local"
	"github.com/snipebeam/snipebeam/entry/caller"
)

// Guards against failed requests on a host that has earned no retry, although the control
// hosts have some to grant.
func TestHostThatHasEarnedNoRetryIsGrantedOne(t *testing.T) {
	var refused atomic.Int32
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.Header().Set(caller.RefusedHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(refusing.Close)
	good := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(good.Close)
	control := local.StartControl(t, nil)
	submitText(t, control, http.DefaultClient, `service a: owner O, retryBudget 0%, retryAllowance 20 per 10s # w: y
route a: deadline 5s, retries 1 # w: y`)
	host := local.StartEntry(t, control, nil)
	local.Ready(t, host)
	t.Parallel()
	failed := int32(0)
	local.Eventually(t, "a refused request is sent to the other instance", func() bool {
		for id, instance := range map[string]*httptest.Server{"a-1": refusing, "a-2": good} {
			must.NoError(t, announceInstance(t.Context(), http.DefaultClient, host.Platform, id, instance.Listener.Addr().String(), 10))
		}
		if raw(t, host.Callers, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") != http.StatusOK {
			failed++
		}
		return refused.Load() > failed
	})
}
