package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/standin/caller"
)

// fakeEntry answers as an entry host does; every fourth request is refused,
// and every fourth gets an answer that was meant for another.
type fakeEntry struct {
	asked    atomic.Int32
	requests atomic.Int32
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses/a" {
		f.asked.Add(1)
		fmt.Fprintf(w, `{"service":"a","ttlSeconds":60,"addresses":[{"address":%q}]}`, r.Host)
		return
	}
	id := r.Header.Get("Request-Id")
	switch f.requests.Add(1) % 4 {
	case 1:
		w.Header().Set("Snipebeam-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 2:
		w.Header().Set("Snipebeam-Outcome", "answer")
		fmt.Fprint(w, "another request")
	default:
		w.Header().Set("Snipebeam-Outcome", "answer")
		fmt.Fprint(w, id)
	}
}

func TestCallerKeepsAddressesAndCountsOutcomes(t *testing.T) {
	entry := &fakeEntry{}
	server := httptest.NewServer(entry)
	defer server.Close()
	s := caller.Run(t.Context(), caller.Config{
		EntryAddresses: []string{server.Listener.Addr().String()}, Service: "a", Method: http.MethodGet, Path: "/",
		Rate: 400, Duration: 200 * time.Millisecond,
	})
	must.Positive(t, s.Sent)
	must.Eq(t, int(entry.requests.Load()), s.Sent)
	must.Eq(t, 1, entry.asked.Load())
	must.Eq(t, s.Sent, s.Outcomes["answer"]+s.Outcomes["not-run"])
	must.Eq(t, (s.Sent+3)/4, s.Outcomes["not-run"])
	must.Eq(t, (s.Sent+2)/4, s.WrongResponses)
}
