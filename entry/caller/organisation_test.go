package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/rule"
	"github.com/snipebeam/snipebeam/world/wire"
)

const organisationRules = `
service shop: retryBudget 100% # Marie: tests
route shop GET,PUT /open/**: public, deadline 5s # Marie: shop windows
route shop GET,PUT: deadline 5s, retries 1 # Marie: studios
`

func organisationLine(name, key string) string {
	return `organisation ` + name + `: keys "` + rule.KeyDigest(key) + `" # Marie: studios` + "\n"
}

func withRules(t *testing.T, text string) (*rules.Table, option) {
	t.Helper()
	table := rules.NewTable()
	_, err := table.Advance(&wire.Version{Number: 1}, text)
	must.NoError(t, err)
	table.Confirm(1, time.Now())
	return table, func(cfg *caller.Config) { cfg.Table = table }
}

// sentHeaders is an instance that responds with the headers of organisations that it gets,
// in any spelling, and with the trailers.
func sentHeaders(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	var b strings.Builder
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for name, values := range h {
			if strings.Contains(strings.ToLower(name), "organisation") || strings.Contains(strings.ToLower(name), "key") {
				b.WriteString(name + "=" + strings.Join(values, ",") + ";")
			}
		}
	}
	_, _ = io.WriteString(w, b.String())
}

// get sends a request to an entry host and returns the status and the body of its response.
func get(t *testing.T, address, path string, headers ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	must.NoError(t, err)
	r.Header.Set(caller.ServiceHeader, "shop")
	for n := 0; n < len(headers); n += 2 {
		r.Header[headers[n]] = append(r.Header[headers[n]], headers[n+1])
	}
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

// Guards against requests without a valid key, against a key that reaches an instance, and
// against an organisation that a caller claims for itself.
func TestOnlyHoldersOfKeysAreServedUnderTheirName(t *testing.T) {
	instance := httptest.NewServer(http.HandlerFunc(sentHeaders))
	t.Cleanup(instance.Close)
	_, opt := withRules(t, organisationRules+organisationLine("nord", "secret"))
	entry := serveEntry(t, newEntry(t, viewsOf(instance.Listener.Addr().String()), nil, opt))
	const key, organisation = caller.KeyHeader, caller.OrganisationHeader
	named := organisation + "=nord;"
	for _, c := range []struct {
		path    string
		headers []string
		status  int
		body    string
	}{
		{"/a", []string{key, "secret"}, http.StatusOK, named},
		{"/a", []string{key, "secret", key, "secret"}, http.StatusOK, named},
		{"/a", []string{key, "secret", organisation, "sud"}, http.StatusOK, named},
		{"/a", []string{key, "secret", "snipebeam-organisation", "sud", "SNIPEBEAM-KEY", "secret"}, http.StatusOK, named},
		{"/a", []string{key, "secret", "Connection", key + ", " + organisation}, http.StatusOK, named},
		{"/a", nil, http.StatusUnauthorized, ""},
		{"/a", []string{key, ""}, http.StatusUnauthorized, ""},
		{"/a", []string{key, "secre"}, http.StatusUnauthorized, ""},
		{"/a", []string{key, "secret", key, "other"}, http.StatusUnauthorized, ""},
		{"/a", []string{organisation, "nord"}, http.StatusUnauthorized, ""},
		{"/open/a", []string{organisation, "nord"}, http.StatusOK, ""},
		{"/open/a", []string{key, "other"}, http.StatusOK, ""},
		{"/open/a", []string{key, "secret"}, http.StatusOK, named},
	} {
		status, body := get(t, entry, c.path, c.headers...)
		must.Eq(t, c.status, status, must.Sprint(c))
		if status == http.StatusOK {
			must.Eq(t, c.body, body, must.Sprint(c))
		} else {
			must.StrNotContains(t, body, "secret")
		}
	}
}

// Guards against trailers that carry what is removed from the headers.
func TestTrailersDoNotNameAnOrganisation(t *testing.T) {
	instance := httptest.NewServer(http.HandlerFunc(sentHeaders))
	t.Cleanup(instance.Close)
	_, opt := withRules(t, organisationRules+organisationLine("nord", "secret"))
	entry := serveEntry(t, newEntry(t, viewsOf(instance.Listener.Addr().String()), nil, opt))
	r, err := http.NewRequest(http.MethodPut, "http://"+entry+"/a", io.MultiReader(strings.NewReader("body")))
	must.NoError(t, err)
	r.Header.Set(caller.ServiceHeader, "shop")
	r.Header.Set(caller.KeyHeader, "secret")
	r.Trailer = http.Header{caller.OrganisationHeader: {"sud"}, caller.KeyHeader: {"secret"}}
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, caller.OrganisationHeader+"=nord;", string(body))
}

// Rules without organisations must not change what earlier deployments forward.
func TestWithoutOrganisationsHeadersAreForwarded(t *testing.T) {
	instance := httptest.NewServer(http.HandlerFunc(sentHeaders))
	t.Cleanup(instance.Close)
	_, opt := withRules(t, organisationRules)
	entry := serveEntry(t, newEntry(t, viewsOf(instance.Listener.Addr().String()), nil, opt))
	status, body := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, caller.KeyHeader+"=secret;", body)
}

// A host that has not learned the rules cannot tell that a key is unknown: callers do not
// retry after a 401.
func TestHostWithoutConfirmedRulesDoesNotRefuseAKey(t *testing.T) {
	table := rules.NewTable()
	_, err := table.Advance(&wire.Version{Number: 1}, organisationRules+organisationLine("nord", "secret"))
	must.NoError(t, err)
	entry := serveEntry(t, newEntry(t, viewsOf(), nil, func(cfg *caller.Config) { cfg.Table = table }))
	status, _ := get(t, entry, "/a", caller.KeyHeader, "other")
	must.Eq(t, http.StatusServiceUnavailable, status)
}

// Guards against a relayed request that loses its key, and against a forged relay header
// that takes the place of one.
func TestRelayedRequestKeepsItsKey(t *testing.T) {
	instance := httptest.NewServer(http.HandlerFunc(sentHeaders))
	t.Cleanup(instance.Close)
	address := instance.Listener.Addr().String()
	_, opt := withRules(t, organisationRules+organisationLine("nord", "secret"))
	second := serveEntry(t, newEntry(t, viewsOf(address), nil, opt))
	var cut atomic.Bool
	relay := &fakeRelay{hosts: []string{second}}
	relay.isolated.Store(true)
	cut.Store(true)
	first := serveEntry(t, newEntry(t, viewsOf(address), nil, opt, func(cfg *caller.Config) { cfg.Relay = relay }))
	status, body := get(t, first, "/a", caller.KeyHeader, "secret", caller.OrganisationHeader, "sud")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, caller.OrganisationHeader+"=nord;", body)
	status, _ = get(t, second, "/a", caller.RelayedForHeader, "10.0.0.1", caller.OrganisationHeader, "nord")
	must.Eq(t, http.StatusUnauthorized, status)
}

// A request that waits while its key is taken away is still served if its rules were
// current when it arrived; the next one is refused.
func TestKeyIsRefusedOnceItsVersionIsInForce(t *testing.T) {
	instance := httptest.NewServer(http.HandlerFunc(sentHeaders))
	t.Cleanup(instance.Close)
	table, opt := withRules(t, organisationRules+organisationLine("nord", "secret"))
	entry := serveEntry(t, newEntry(t, viewsOf(instance.Listener.Addr().String()), nil, opt))
	status, _ := get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusOK, status)
	_, err := table.Advance(&wire.Version{Number: 2}, organisationRules+organisationLine("nord", "other"))
	must.NoError(t, err)
	table.Confirm(2, time.Now())
	status, _ = get(t, entry, "/a", caller.KeyHeader, "secret")
	must.Eq(t, http.StatusUnauthorized, status)
	status, _ = get(t, entry, "/a", caller.KeyHeader, "other")
	must.Eq(t, http.StatusOK, status)
}
