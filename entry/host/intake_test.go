package host

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/intake"
)

// Guards against announcements being cut off when all instances announce themselves at once,
// because each is charged as much as a scrape at the same listener.
func TestOnlyScrapesAreChargedAsScrapes(t *testing.T) {
	budget := intake.NewBudget(0, 0)
	held := map[string]int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		held[r.URL.Path], _ = budget.Held()
	}))
	server.Listener = intake.Protect(server.Config, server.Listener, budget, platformIntake(settings.Default()))
	server.Start()
	defer server.Close()
	for _, path := range []string{"/v1/instances/x", "/metrics"} {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader("{}"))
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
	}
	must.Less(t, 2*requestBytes, held["/v1/instances/x"])
	must.GreaterEq(t, scrapeBytes, held["/metrics"])
}
