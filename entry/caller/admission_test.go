package caller_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/admission"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Guards against a request that reaches an instance although it is not admitted, against a
// refusal without a wait or with a status that guarantees nothing, and against admission
// where the rules hold no organisation.
func TestRequestThatIsNotAdmittedIsRefusedBeforeItIsSent(t *testing.T) {
	for _, c := range []struct {
		rules  string
		status int
		wait   string
		sent   int32
	}{
		{organisationRules + organisationLine("nord", "secret"), http.StatusServiceUnavailable, "5", 0},
		{organisationRules, http.StatusOK, "", 1},
	} {
		var sent atomic.Int32
		instance := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent.Add(1) }))
		t.Cleanup(instance.Close)
		views, gate := viewsOf(instance.Listener.Addr().String()), admission.New()
		gate.Store([]*wire.Admission{{Service: "shop", Rank: 1, Share: 0}}, 0)
		_, opt := withRules(t, c.rules)
		entry := serveEntry(t, newEntry(t, views, nil, opt, func(cfg *caller.Config) {
			cfg.Router = route.NewRouter(views, route.NewLeastLoaded(), route.WithGate(gate))
		}))
		r, err := http.NewRequest(http.MethodGet, "http://"+entry+"/a", nil)
		must.NoError(t, err)
		r.Header.Set(caller.ServiceHeader, "shop")
		r.Header.Set(caller.KeyHeader, "secret")
		response, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, c.status, response.StatusCode)
		must.Eq(t, c.wait, response.Header.Get("Retry-After"))
		must.Eq(t, c.sent, sent.Load())
		must.Eq(t, c.sent == 0, len(gate.Report()) == 1)
	}
}
