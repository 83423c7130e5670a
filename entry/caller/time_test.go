package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// network is an in-memory network of servers and clients.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

func newNetwork() *network { return &network{listeners: map[string]*memoryListener{}} }

type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

func (n *network) listen(address string) *memoryListener {
	l := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve runs a handler at an address until the test ends.
func (n *network) serve(t testing.TB, address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	l := n.listen(address)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// serveRaw serves each connection at an address by a script until the test ends.
func (n *network) serveRaw(t testing.TB, address string, script func(conn net.Conn, r *bufio.Reader)) {
	l := n.listen(address)
	t.Cleanup(func() { _ = l.Close() })
	go serveScript(l, script)
}

// call sends a request over a connection of its own.
func (n *network) call(t testing.TB, req *http.Request) reply {
	t.Helper()
	got, err := doWith(n.client(t), req)
	must.NoError(t, err)
	return got
}

// client returns an HTTP client that dials over the network.
func (n *network) client(t testing.TB) *http.Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, address) }}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (n *network) pool(t testing.TB) option {
	return func(cfg *caller.Config) {
		cfg.Pool = upstream.NewPool(upstream.WithDial(n.dial))
		t.Cleanup(cfg.Pool.Close)
	}
}

// slowBody yields parts of a body with a pause before each.
type slowBody struct {
	parts int
	size  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(b.pause)
	return copy(p, make([]byte, b.size)), nil
}

// upload sends a slow upload that matches a rule with a deadline of 2 s.
func upload(t *testing.T, body *slowBody, handle http.HandlerFunc) (*http.Response, error) {
	n := newNetwork()
	n.serve(t, "i:1", handle)
	n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t)).handler)
	req, err := http.NewRequest(http.MethodPost, "http://e:1/photos/1", io.NopCloser(body))
	must.NoError(t, err)
	req.ContentLength = int64(body.parts * body.size)
	req.Header.Set(caller.ServiceHeader, "shop")
	return n.client(t).Do(req)
}

func TestDeadlineRunsFromTheLastByteOfAnUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response, err := upload(t, &slowBody{parts: 100, size: 4000, pause: time.Second}, func(w http.ResponseWriter, r *http.Request) {
			size, _ := io.Copy(io.Discard, r.Body)
			time.Sleep(1900 * time.Millisecond)
			_, _ = io.WriteString(w, strings.Repeat("a", int(size)))
		})
		must.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, 400_000, len(data))
	})
}

func TestNoResponseWithinTheDeadlineIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		cancelled := make(chan time.Duration, 1)
		response, err := upload(t, &slowBody{parts: 1, size: 4000}, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			cancelled <- time.Since(started)
		})
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Eq(t, http.StatusGatewayTimeout, response.StatusCode)
		must.Eq(t, string(outcome.Unknown), response.Header.Get(outcome.Header))
		must.Eq(t, 2*time.Second, <-cancelled)
	})
}

func TestStalledUploadEndsByTheProgressTimeout(t *testing.T) {
	for path, reason := range map[string]outcome.Reason{"/photos/1": outcome.BodyCut, "/pay/1": outcome.BodyCut} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			n.serve(t, "i:1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
			n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t)).handler)
			conn, err := n.dial(t.Context(), "e:1")
			must.NoError(t, err)
			started := time.Now()
			go func() {
				_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\nContent-Length: 1500\r\n\r\n")
				time.Sleep(25 * time.Second)
				_, _ = conn.Write(make([]byte, 500))
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			must.Eq(t, 30*time.Second, time.Since(started))
			must.Eq(t, string(reason), response.Header.Get(outcome.ReasonHeader))
			must.Eq(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
			must.NoError(t, conn.Close())
		})
	}
}

func TestLongResponseOutlivesTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response, err := upload(t, &slowBody{parts: 1, size: 10}, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			for range 60 {
				_, _ = io.WriteString(w, "0123456789")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Second)
			}
		})
		must.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, 600, len(data))
	})
}

func TestShorterDeadlineOfTheCallerApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.serve(t, "i:1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t)).handler)
		started := time.Now()
		response, err := n.client(t).Do(newRequest(t, http.MethodGet, "e:1", "/x", "", caller.DeadlineHeader, "700"))
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Eq(t, string(outcome.DeadlineExceeded), response.Header.Get(outcome.ReasonHeader))
		must.Eq(t, 700*time.Millisecond, time.Since(started))
	})
}

func TestDisconnectCancelsUnlessTheContractSaysFinish(t *testing.T) {
	for path, finishes := range map[string]bool{"/x": false, "/photos/1": true} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			ended := make(chan bool, 1)
			n.serve(t, "i:1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				select {
				case <-r.Context().Done():
					ended <- false
				case <-time.After(1500 * time.Millisecond):
					ended <- true
				}
			}))
			n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t)).handler)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", path, "b").WithContext(ctx))
			must.Error(t, err)
			must.Eq(t, finishes, <-ended)
		})
	}
}

func TestHeldClaimIsUnknownAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, claims, runs := newNetwork(), newClaims(), &counter{}
		n.serve(t, "i:1", runs)
		n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), claims, n.pool(t)).handler)
		request := func() *http.Request {
			return newRequest(t, http.MethodPost, "e:1", "/pay/1", "5", keyHeader, "k", caller.CallerHeader, "c")
		}
		// The completion is lost, as if the host had crashed between claim and
		// response: the claim remains held.
		claims.setFault(func(step string) (bool, bool) { return step == "complete", false })
		response, err := n.client(t).Do(request())
		must.NoError(t, err)
		_ = response.Body.Close()
		started := time.Now()
		response, err = n.client(t).Do(request())
		must.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, string(outcome.Unknown), response.Header.Get(outcome.Header))
		must.StrContains(t, string(data), "its host may have stopped")
		must.Eq(t, 5*time.Second, time.Since(started))
		must.Eq(t, 1, runs.of("k"))
		claims.setFault(nil)
		time.Sleep(time.Minute)
	})
}

func TestSlowReaderIsLimitedByProgressNotByTotalTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.serve(t, "i:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 1<<20))
		}))
		n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t)).handler)
		conn, err := n.dial(t.Context(), "e:1")
		must.NoError(t, err)
		go func() { _, _ = io.WriteString(conn, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n") }()
		response, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
		must.NoError(t, err)
		for range 20 { // 200 s in all, well over every deadline
			time.Sleep(10 * time.Second)
			_, err = io.CopyN(io.Discard, response.Body, 40<<10)
			must.NoError(t, err)
		}
		time.Sleep(2 * time.Minute)
		_, err = io.Copy(io.Discard, response.Body)
		must.Error(t, err)
		_ = conn.Close()
	})
}
