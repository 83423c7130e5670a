package local_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/local"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/world/rule"
)

// Guards against hosts of which one does not grant or charge requests of an organisation with
// a limit, and against refusals of one that has none.
func TestLimitOfAnOrganisationHoldsAtRunningHosts(t *testing.T) {
	var handled atomic.Int32
	instance := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(caller.OrganisationHeader) == "nord" {
			handled.Add(1)
		}
	}))
	t.Cleanup(instance.Close)
	control := local.StartControl(t, nil)
	submitText(t, control, http.DefaultClient, strings.Join([]string{
		`service a: owner O # w: y`, `route a: deadline 5s # w: y`,
		`organisation nord: keys "` + rule.KeyDigest("n") + `", rate 0.01/s, burst 20 # w: y`,
		`organisation sud: keys "` + rule.KeyDigest("s") + `" # w: y`,
	}, "\n"))
	host := local.StartEntry(t, control, nil)
	local.Ready(t, host)
	t.Parallel()
	send := func(key string) int {
		return raw(t, host.Callers, "GET / HTTP/1.1\r\nHost: a\r\n"+caller.KeyHeader+": "+key+"\r\n\r\n")
	}
	local.Eventually(t, "a request is served", func() bool {
		must.NoError(t, announceInstance(t.Context(), http.DefaultClient, host.Platform, "a-1", instance.Listener.Addr().String(), 10))
		return send("n") == http.StatusOK
	})
	statuses := map[int]int{}
	local.Eventually(t, "the limit is reached", func() bool {
		must.NoError(t, announceInstance(t.Context(), http.DefaultClient, host.Platform, "a-1", instance.Listener.Addr().String(), 10))
		for range 200 {
			statuses[send("n")]++
		}
		return statuses[http.StatusTooManyRequests] > 0
	})
	for range 50 {
		must.NotEq(t, http.StatusTooManyRequests, send("s"))
	}
	must.LessEq(t, 42, handled.Load()) // (0.01 x 5 + 20) x 1.1 + 20, in all
}
