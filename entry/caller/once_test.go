package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const keyHeader = "Idempotency-Key"

// counter is an instance that counts executions by key.
type counter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *counter) count(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[key]++
}

func (c *counter) of(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	c.count(r.Header.Get(keyHeader))
	w.Header().Set("Receipt", r.Header.Get(keyHeader))
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write([]byte("paid " + string(data)))
}

func TestResendGetsTheStoredResponseFromAnyHost(t *testing.T) {
	instance, claims := &counter{}, newClaims()
	views := viewsOf(httpInstance(t, instance.ServeHTTP))
	a, b := newEntry(t, views, claims), newEntry(t, views, claims)
	first := call(t, http.MethodPost, serveEntry(t, a), "/pay/1", "5", keyHeader, "k", "Snipebeam-Caller", "c")
	waitSettled(t, a)
	second := call(t, http.MethodPost, serveEntry(t, b), "/pay/1", "5", keyHeader, "k", "Snipebeam-Caller", "c")
	must.Eq(t, "paid 5", first.body)
	must.Eq(t, first.body, second.body)
	must.Eq(t, http.StatusCreated, second.status)
	must.Eq(t, "k", second.header.Get("Receipt"))
	must.Eq(t, "true", second.header.Get("Snipebeam-Replayed"))
	must.Eq(t, 1, instance.of("k"))

	other := call(t, http.MethodPost, serveEntry(t, b), "/pay/1", "6", keyHeader, "k", "Snipebeam-Caller", "c")
	must.Eq(t, outcome.KeyReused, other.reason())
	must.Eq(t, http.StatusUnprocessableEntity, other.status)
	otherCaller := call(t, http.MethodPost, serveEntry(t, b), "/pay/1", "6", keyHeader, "k", "Snipebeam-Caller", "d")
	must.Eq(t, "paid 6", otherCaller.body)
}

func TestDuplicatesAtTwoHostsRunOnce(t *testing.T) {
	instance, claims := &counter{}, newClaims()
	views := viewsOf(httpInstance(t, instance.ServeHTTP))
	hosts := []string{serveEntry(t, newEntry(t, views, claims)), serveEntry(t, newEntry(t, views, claims))}
	bodies := make(chan string, 20)
	for n := range 20 {
		go func() {
			got, _ := do(newRequest(t, http.MethodPost, hosts[n%2], "/pay/1", "5", keyHeader, "k", "Snipebeam-Caller", "c"))
			bodies <- got.body
		}()
	}
	for range 20 {
		must.Eq(t, "paid 5", <-bodies)
	}
	must.Eq(t, 1, instance.of("k"))
}

func TestNoQuorumIsNotRunAndIsReleasedOnceItReturns(t *testing.T) {
	instance, claims := &counter{}, newClaims()
	var lost atomic.Bool
	lost.Store(true)
	// The claim commits, but its response and the first releases are lost.
	claims.fault = func(step string) (bool, bool) {
		return lost.Load() && step == "release", lost.Load() && step == "claim"
	}
	e := newEntry(t, viewsOf(httpInstance(t, instance.ServeHTTP)), claims)
	entry := serveEntry(t, e)
	got := call(t, http.MethodPost, entry, "/pay/1", "5", keyHeader, "k")
	must.Eq(t, outcome.NotRun, got.outcome())
	must.Eq(t, outcome.ClaimUnavailable, got.reason())
	must.Eq(t, "1", got.header.Get("Retry-After"))
	must.Eq(t, 0, instance.of("k"))
	must.Eq(t, 1, e.settler.Unsettled())
	lost.Store(false)
	got = call(t, http.MethodPost, entry, "/pay/1", "5", keyHeader, "k")
	must.Eq(t, "paid 5", got.body)
	must.Eq(t, 1, instance.of("k"))
}

func TestClaimIsReleasedWhenNothingWasDispatched(t *testing.T) {
	claims := newClaims()
	got := call(t, http.MethodPost, serveEntry(t, newEntry(t, viewsOf(deadAddress(t)), claims)), "/pay/1", "5", keyHeader, "k")
	must.Eq(t, outcome.NotRun, got.outcome())
	instance := &counter{}
	got = call(t, http.MethodPost, serveEntry(t, newEntry(t, viewsOf(httpInstance(t, instance.ServeHTTP)), claims)), "/pay/1", "5", keyHeader, "k")
	must.Eq(t, "paid 5", got.body)
}

func TestAtMostOnceIsTriedElsewhereOnlyIfItDidNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, good, closing := newNetwork(), &counter{}, &counter{}
		n.serve(t, "good:1", good)
		n.serve(t, "shed:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Snipebeam-Not-Started", "shed")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		n.serveRaw(t, "closing:1", func(_ net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				closing.count(req.Header.Get(keyHeader))
			}
		})
		for _, name := range []string{"gone", "shed"} {
			for k := range 8 {
				key := name + string(rune('a'+k))
				n.serve(t, "e:1", newEntry(t, viewsOf(name+":1", "good:1"), newClaims(), n.pool(t)).handler)
				started := time.Now()
				got := n.call(t, newRequest(t, http.MethodPost, "e:1", "/pay/1", "5", keyHeader, key))
				must.Eq(t, "paid 5", got.body)
				must.Eq(t, 1, good.of(key))
				must.Zero(t, time.Since(started))
			}
		}
		for k := range 8 {
			key := "closing" + string(rune('a'+k))
			n.serve(t, "e:1", newEntry(t, viewsOf("closing:1", "good:1"), newClaims(), n.pool(t)).handler)
			got := n.call(t, newRequest(t, http.MethodPost, "e:1", "/pay/1", "5", keyHeader, key))
			must.Eq(t, 1, good.of(key)+closing.of(key))
			must.Eq(t, closing.of(key) == 1, got.outcome() == outcome.Unknown)
		}
		e := newEntry(t, viewsOf("closing:1"), newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		request := func() *http.Request { return newRequest(t, http.MethodPost, "e:1", "/pay/1", "5", keyHeader, "k") }
		must.Eq(t, outcome.Unknown, n.call(t, request()).outcome())
		waitSettled(t, e)
		again := n.call(t, request())
		must.Eq(t, outcome.Unknown, again.outcome())
		must.Eq(t, outcome.ClaimHeld, again.reason())
		must.Eq(t, 1, closing.of("k"))
	})
}

func TestTruncatedResponseOfAtMostOnceIsUnknownToTheResend(t *testing.T) {
	cutting := rawInstance(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 100\r\n\r\nhalf")
	})
	e := newEntry(t, viewsOf(cutting), newClaims())
	entry := serveEntry(t, e)
	_, err := do(newRequest(t, http.MethodPost, entry, "/pay/1", "5", keyHeader, "k"))
	must.Error(t, err)
	waitSettled(t, e)
	again := call(t, http.MethodPost, entry, "/pay/1", "5", keyHeader, "k")
	must.Eq(t, outcome.Unknown, again.outcome())
	must.Eq(t, outcome.AnswerLost, again.reason())
}

func TestResponseIsStoredForACallerThatDisconnected(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	instance := &counter{}
	address := httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-proceed
		instance.ServeHTTP(w, r)
	})
	e := newEntry(t, viewsOf(address), newClaims())
	entry := serveEntry(t, e)
	conn, err := net.Dial("tcp", entry)
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST /pay/1 HTTP/1.1\r\nHost: shop\r\nSnipebeam-Caller: c\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\n5")
	must.NoError(t, err)
	<-started
	must.NoError(t, conn.Close())
	close(proceed)
	got := call(t, http.MethodPost, entry, "/pay/1", "5", keyHeader, "k", "Snipebeam-Caller", "c")
	must.Eq(t, "paid 5", got.body)
	must.Eq(t, 1, instance.of("k"))
}

func TestLargeResponseIsNotStoredAndNotRunAgain(t *testing.T) {
	var runs atomic.Int32
	large := strings.Repeat("a", 200_000)
	address := httpInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, large)
	})
	e := newEntry(t, viewsOf(address), newClaims())
	entry := serveEntry(t, e)
	must.Eq(t, large, call(t, http.MethodPost, entry, "/pay/1", "5", keyHeader, "k").body)
	waitSettled(t, e)
	must.Eq(t, outcome.AnswerTooLarge, call(t, http.MethodPost, entry, "/pay/1", "5", keyHeader, "k").reason())
	must.Eq(t, 1, runs.Load())
}
