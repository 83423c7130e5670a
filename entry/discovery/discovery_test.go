package discovery_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/discovery"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// fixture is a platform handler with what it works with.
type fixture struct {
	table   *rules.Table
	members *members
	entries []*wire.HostReport
	handler http.Handler
}

func newFixture(keys ...string) *fixture {
	f := &fixture{table: rules.NewTable(), members: newMembers()}
	f.handler = discovery.New(discovery.Config{
		Host: "e1", Table: f.table, Members: f.members, Entries: func() []*wire.HostReport { return f.entries },
		Ready: func() bool { return true }, Rate: placement.NewRates().ArrivalRate,
		Decisions: decision.NewLog(hclog.NewNullLogger()), Keys: key.New(keys...), Metrics: func(io.Writer) {},
	})
	return f
}

func (f *fixture) rules(t *testing.T) {
	_, err := f.table.Advance(&wire.Version{Number: 1}, "service a: spread 2 # w: y\nroute a # w: y")
	must.NoError(t, err)
	must.Eq(t, discovery.NotReady, refusal(t, f.call(http.MethodGet, "/v1/addresses/a", "")))
	f.table.Confirm(1, time.Now())
}

func (f *fixture) call(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for n := 0; n < len(headers); n += 2 {
		r.Header.Set(headers[n], headers[n+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

func refusal(t *testing.T, w *httptest.ResponseRecorder) discovery.Reason {
	var p discovery.Problem
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
	must.Eq(t, w.Code, p.Status)
	must.Eq(t, "application/problem+json", w.Header().Get("Content-Type"))
	return p.Reason
}

func TestAddressAnswers(t *testing.T) {
	f := newFixture()
	must.Eq(t, discovery.NotReady, refusal(t, f.call(http.MethodGet, "/v1/addresses/a", "")))
	f.rules(t)
	must.Eq(t, discovery.UnknownService, refusal(t, f.call(http.MethodGet, "/v1/addresses/b%00", "")))
	w := f.call(http.MethodGet, "/v1/addresses/a", "")
	must.Eq(t, discovery.NoEntryHost, refusal(t, w))
	must.Eq(t, "1", w.Header().Get("Retry-After"))
	for _, name := range []string{"e1", "e2", "e3"} {
		f.entries = append(f.entries, &wire.HostReport{Name: name, Role: "entry", State: "ready", Zone: "z" + name[1:], CallersAddress: "127.0.0.1:720" + name[1:]})
	}
	var answer discovery.AddressResponse
	w = f.call(http.MethodGet, "/v1/addresses/a?zone=z2", "")
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	must.Len(t, 2, answer.Addresses)
	must.Positive(t, answer.TTLSeconds)
}

func TestAnnouncementsAreChecked(t *testing.T) {
	f := newFixture()
	good := `{"service":"a","address":"127.0.0.1:9001","slots":3}`
	must.Eq(t, http.StatusOK, f.call(http.MethodPut, "/v1/instances/a-1", good).Code)
	must.Len(t, 1, f.members.core.Instances())
	cases := map[string]string{
		"not JSON":         `{"service":`,
		"another type":     `{"service":"a","address":"127.0.0.1:9001","slots":"three"}`,
		"negative slots":   `{"service":"a","address":"127.0.0.1:9001","slots":-1}`,
		"too many slots":   `{"service":"a","address":"127.0.0.1:9001","slots":4000000}`,
		"no service":       `{"address":"127.0.0.1:9001"}`,
		"NUL in a name":    `{"service":"a\u0000","address":"127.0.0.1:9001"}`,
		"line in a name":   `{"service":"a\nb","address":"127.0.0.1:9001"}`,
		"no address":       `{"service":"a"}`,
		"address by name":  `{"service":"a","address":"example.org:80"}`,
		"no port":          `{"service":"a","address":"127.0.0.1"}`,
		"port 0":           `{"service":"a","address":"127.0.0.1:0"}`,
		"every interface":  `{"service":"a","address":"0.0.0.0:80"}`,
		"zone with a path": `{"service":"a","address":"127.0.0.1:9001","zone":"../x"}`,
	}
	for what, body := range cases {
		must.Eq(t, discovery.Malformed, refusal(t, f.call(http.MethodPut, "/v1/instances/a-2", body)), must.Sprint(what))
	}
	must.Eq(t, discovery.Malformed, refusal(t, f.call(http.MethodPut, "/v1/instances/a%20b", good)))
	must.Eq(t, discovery.TooLarge, refusal(t, f.call(http.MethodPut, "/v1/instances/a-2", `{"service":"`+strings.Repeat("a", 20<<10)+`"}`)))
	must.Eq(t, discovery.WrongMethod, refusal(t, f.call(http.MethodPost, "/v1/instances/a-2", good)))
	must.Eq(t, discovery.NotFound, refusal(t, f.call(http.MethodGet, "/v2", "")))
	must.Len(t, 1, f.members.core.Instances())
}

func TestAnnouncementsNeedAKeyOnceThereAreKeys(t *testing.T) {
	f := newFixture("new", "old")
	body := `{"service":"a","address":"127.0.0.1:9001"}`
	must.Eq(t, discovery.KeyRefused, refusal(t, f.call(http.MethodPut, "/v1/instances/a-1", body)))
	must.Eq(t, discovery.KeyRefused, refusal(t, f.call(http.MethodDelete, "/v1/instances/a-1", "", "Authorization", "Bearer wrong")))
	for _, accepted := range []string{"new", "old"} {
		must.Eq(t, http.StatusOK, f.call(http.MethodPut, "/v1/instances/a-1", body, "Authorization", "Bearer "+accepted).Code)
	}
}
