package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/upstream"
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

// lossesOf returns the number of losses of which a host tells others.
func lossesOf(host *entryHost) int {
	n := 0
	for _, suspect := range host.suspects.Suspects() {
		n += len(suspect.GetLosses())
	}
	return n
}

// awaitIdle waits until a host has ended all requests, whose callers have their responses before.
func awaitIdle(t *testing.T, host *entryHost) {
	t.Helper()
	for range 1000 {
		if n, _ := host.backlog.InFlight(time.Now()); n == 0 {
			return
		}
		pause.For(t.Context(), time.Millisecond)
	}
	t.Fatal("requests are in flight")
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
	var ran [6]atomic.Int32 // in each round; those of round 0 may be hedged and counted late
	handle := func(w http.ResponseWriter, r *http.Request) {
		round, _ := strconv.Atoi(r.Header.Get("X-Round"))
		ran[round].Add(1)
		if late.Load() {
			pause.For(r.Context(), 200*time.Millisecond)
		}
		_, _ = w.Write([]byte("late"))
	}
	crashing, _ := crashingInstances(t, 1)
	host := newEntry(t, viewsOf(append(crashing, httpInstance(t, handle), httpInstance(t, handle))...), newClaims())
	entry := serveEntry(t, host)
	for n := 0; n < 100 && lossesOf(host) == 0; n++ {
		// As a further attempt it is not hedged, so that none is cancelled at the instance that ends.
		call(t, http.MethodGet, entry, "/late/poison", "", caller.AttemptHeader, "2")
	}
	for range 40 { // until the usual latency has been measured
		must.Eq(t, http.StatusOK, call(t, http.MethodGet, entry, "/late/poison", "").status)
	}
	suspect := host.suspects.Suspects()[0].GetFingerprint()
	late.Store(true)
	for n := range 5 {
		awaitIdle(t, host) // the end of a request excuses what is known by then
		host.suspects.Merge([]*wire.Suspect{{Fingerprint: suspect, Losses: []*wire.Loss{{Instance: fmt.Sprint("another-", n)}}}}, time.Now())
		must.Eq(t, http.StatusOK, call(t, http.MethodGet, entry, "/late/poison", "", "Snipebeam-Deadline-Ms", "1500", "X-Round", strconv.Itoa(n+1)).status)
		must.One(t, ran[n+1].Load())
	}
}

// A host that was cut from all instances accused the requests on its links, at all hosts.
func TestHostThatLosesAllInstancesAccusesNoRequest(t *testing.T) {
	var cut atomic.Bool
	var began sync.WaitGroup
	handle := func(_ http.ResponseWriter, r *http.Request) {
		began.Done()
		<-r.Context().Done()
	}
	instances := []string{httpInstance(t, handle), httpInstance(t, handle)}
	var conns sync.Map
	dial := partitionedFrom(&cut, instances...)
	pool := upstream.NewPool(upstream.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err == nil {
			conns.Store(conn, nil)
		}
		return conn, err
	}))
	views := viewsOf(instances...)
	host := newEntry(t, views, newClaims(), func(cfg *caller.Config) { cfg.Pool, cfg.Reach = pool, isolation.New(pool.CanConnect, views) })
	entry := serveEntry(t, host)
	var calls sync.WaitGroup
	began.Add(len(instances))
	for n := range instances {
		calls.Go(func() { _, _ = do(newRequest(t, http.MethodPost, entry, fmt.Sprint("/x/", n), "")) })
	}
	began.Wait()
	cut.Store(true)
	conns.Range(func(conn, _ any) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.(*net.TCPConn).CloseRead()
		return true
	})
	calls.Wait()
	must.Zero(t, lossesOf(host))
	pause.For(t.Context(), 500*time.Millisecond) // and some more looks
	must.Zero(t, lossesOf(host))
}

// An instance that resets connections while it is full has lost nothing: others of its connections
// live on, and new ones are accepted.
func TestInstancesThatResetWhenFullAccuseNoRequest(t *testing.T) {
	var full atomic.Bool
	var instances []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		instances = append(instances, listener.Addr().String())
		go serveScript(listener, func(conn net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if full.Load() {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
	}
	host := newEntry(t, viewsOf(instances...), newClaims())
	entry := serveEntry(t, host)
	full.Store(true)
	for range 4 {
		must.NotEq(t, http.StatusOK, call(t, http.MethodGet, entry, "/x/lookup", "").status)
		call(t, http.MethodPost, entry, "/x/booking", "")
	}
	must.Zero(t, lossesOf(host))
	pause.For(t.Context(), 500*time.Millisecond) // and some more looks
	must.Zero(t, lossesOf(host))
	full.Store(false)
	must.Eq(t, http.StatusOK, call(t, http.MethodGet, entry, "/x/lookup", "").status)
}
