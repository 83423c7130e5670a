package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/snipebeam/snipebeam/world/wire"
)

// crashingInstances returns instances that end when they read a request to /x/poison, and the
// number of those that have ended.
func crashingInstances(t *testing.T, n int) ([]string, *atomic.Int32) {
	t.Helper()
	var ended atomic.Int32
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
		go serveScript(listener, func(conn net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if strings.HasSuffix(req.URL.Path, "/poison") {
					_ = listener.Close()
					ended.Add(1)
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
	}
	return addresses, &ended
}

// A request that ends instances ended as many again after each change of its rule.
func TestPoisonRequestStaysRefusedAfterAChangeOfItsRule(t *testing.T) {
	instances, ended := crashingInstances(t, 6)
	var table *rules.Table
	entry := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), func(cfg *caller.Config) { table = cfg.Table }))
	call(t, http.MethodGet, entry, "/x/poison", "")
	must.Eq(t, 2, ended.Load())
	for n, retries := range []string{"1", "3", "2"} {
		_, err := table.Advance(&wire.Version{Number: uint64(n + 2)}, strings.ReplaceAll(ruleText, "retries 2", "retries "+retries))
		must.NoError(t, err)
		table.Confirm(uint64(n+2), time.Now())
		must.Eq(t, http.StatusForbidden, call(t, http.MethodGet, entry, "/x/poison", "").status)
	}
	must.Eq(t, 2, ended.Load())
}

// An instance that rejected a poison request cleared it of suspicion.
func TestRefusalByAnInstanceExcusesNoRequest(t *testing.T) {
	instances, _ := crashingInstances(t, 1)
	refusing := httpInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(caller.RefusedHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	host := newEntry(t, viewsOf(append(instances, refusing)...), newClaims())
	entry := serveEntry(t, host)
	for range 3 {
		call(t, http.MethodPost, entry, "/x/poison", "")
	}
	must.Len(t, 1, host.suspects.Suspects())
	must.Len(t, 1, host.suspects.Suspects()[0].GetInstances())
}

// A hedge of a suspect waited for its own request to end, and kept its response.
func TestSuspectIsNotHedged(t *testing.T) {
	var late atomic.Bool
	var ran atomic.Int32
	handle := func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		if late.Load() {
			pause.For(r.Context(), 200*time.Millisecond)
		}
		_, _ = w.Write([]byte("late"))
	}
	crashing, _ := crashingInstances(t, 1)
	host := newEntry(t, viewsOf(append(crashing, httpInstance(t, handle), httpInstance(t, handle))...), newClaims())
	entry := serveEntry(t, host)
	for len(host.suspects.Suspects()) == 0 {
		call(t, http.MethodGet, entry, "/late/poison", "")
	}
	for range 40 { // until the usual latency has been measured
		must.Eq(t, http.StatusOK, call(t, http.MethodGet, entry, "/late/poison", "").status)
	}
	suspect := host.suspects.Suspects()[0].GetFingerprint()
	late.Store(true)
	for n := range 5 {
		host.suspects.Merge([]*wire.Suspect{{Fingerprint: suspect, Losses: []*wire.Loss{{Instance: fmt.Sprint("another-", n)}}}}, time.Now())
		before := ran.Load()
		must.Eq(t, http.StatusOK, call(t, http.MethodGet, entry, "/late/poison", "", "Snipebeam-Deadline-Ms", "1500").status)
		must.Eq(t, before+1, ran.Load())
	}
}
