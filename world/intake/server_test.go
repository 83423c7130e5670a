package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// pipes is a listener in memory.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// served is a server with a budget, and what the budget counted.
type served struct {
	*pipes
	budget *Budget
	counts map[Reason]int
}

// serve runs a server until the test ends, which the caller must do in a bubble.
func serve(t *testing.T, maxBytes int64, maxConns int, limits Limits, handler http.HandlerFunc) *served {
	s := &served{pipes: &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}, counts: map[Reason]int{}}
	s.budget = NewBudget(maxBytes, maxConns, WithObserver(func(r Reason) { s.counts[r]++ }))
	server := &http.Server{Handler: handler, MaxHeaderBytes: testHeadBytes, ReadHeaderTimeout: 3 * time.Second}
	listener := Protect(server, s.pipes, s.budget, limits)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *served) connect(t *testing.T) net.Conn {
	client, server := net.Pipe()
	s.conns <- server
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// ask sends a text and returns the response, nil if the connection was closed.
func ask(conn net.Conn, text string) *http.Response {
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

const ordinary = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func ok(http.ResponseWriter, *http.Request) {}

func TestTooManyLinesGet431(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, 0, 0, Limits{HeadLines: 100}, ok)
		conn := s.connect(t)
		must.Eq(t, http.StatusOK, ask(conn, ordinary).StatusCode)
		response := ask(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 100)+"\r\n")
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		must.True(t, response.Close)
		synctest.Wait()
		must.Eq(t, map[Reason]int{ManyLines: 1}, s.counts)
	})
}

func TestEmptyLinesWithoutEndAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, 0, 0, Limits{}, ok)
		conn := s.connect(t)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		sent, err := int64(0), error(nil)
		for err == nil && sent < 1<<20 {
			var n int
			n, err = io.WriteString(conn, strings.Repeat("\r\n", 512))
			sent += int64(n)
		}
		must.Error(t, err)
	})
}

// Guards against a budget that shrinks with each request.
func TestARequestReturnsWhatItHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, 0, 0, Limits{Request: 1000, BodyCost: 2}, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		conn := s.connect(t)
		for range 3 {
			must.Eq(t, http.StatusOK, ask(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde").StatusCode)
			synctest.Wait()
			bytes, conns := s.budget.Held()
			must.Eq(t, connBytes, bytes)
			must.Eq(t, 1, conns)
		}
		must.NoError(t, conn.Close())
		synctest.Wait()
		bytes, conns := s.budget.Held()
		must.Eq(t, 0, bytes)
		must.Eq(t, 0, conns)
	})
}

// Guards against clients that hold memory keeping an ordinary one out.
func TestAnOrdinaryRequestIsServedAmongLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, 4<<20, 50, Limits{Request: 64 << 10}, ok)
		head := headOf("a:\r\n")
		for range 100 {
			conn := s.connect(t)
			go func() { _, _ = io.WriteString(conn, head[:len(head)-2]) }()
			synctest.Wait()
			bytes, conns := s.budget.Held()
			must.LessEq(t, 4<<20, bytes)
			must.LessEq(t, 50, conns)
		}
		must.Eq(t, http.StatusOK, ask(s.connect(t), ordinary).StatusCode)
		synctest.Wait()
		must.Positive(t, s.counts[OutOfMemory])
	})
}

// Guards against clients that only connect keeping an ordinary one out.
func TestAnOrdinaryRequestIsServedAmongUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, 0, 10, Limits{}, ok)
		used := s.connect(t)
		must.Eq(t, http.StatusOK, ask(used, ordinary).StatusCode)
		for range 100 {
			s.connect(t)
		}
		must.Eq(t, http.StatusOK, ask(s.connect(t), ordinary).StatusCode)
		must.Eq(t, http.StatusOK, ask(used, ordinary).StatusCode)
		synctest.Wait()
		must.Eq(t, 92, s.counts[OutOfConnections])
	})
}

func TestSlowClientsAreCutOff(t *testing.T) {
	for start, want := range map[string]Reason{
		"GET / HTTP/1.1\r\n": SlowHead, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n": SlowBody,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := serve(t, 0, 0, Limits{BodyTimeout: 30 * time.Second}, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			conn := s.connect(t)
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			_, err := io.WriteString(conn, start)
			for began := time.Now(); err == nil && time.Since(began) < time.Minute; time.Sleep(time.Second) {
				_, err = io.WriteString(conn, "x")
			}
			must.Error(t, err)
			synctest.Wait()
			must.Eq(t, map[Reason]int{want: 1}, s.counts)
		})
	}
}

// Guards against a transfer over a slow network being cut off although it goes on.
func TestBodyThatProgressesIsReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, 0, 0, Limits{BodyTimeout: 30 * time.Second}, func(w http.ResponseWriter, r *http.Request) {
			if n, err := io.Copy(io.Discard, r.Body); err != nil || n != 10*progressBytes {
				w.WriteHeader(http.StatusBadRequest)
			}
		})
		conn := s.connect(t)
		go func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 163840\r\n\r\n")
			for range 10 {
				time.Sleep(20 * time.Second)
				_, _ = io.WriteString(conn, strings.Repeat("y", progressBytes))
			}
		}()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
	})
}

// Guards against a message of a few megabytes that takes hundreds in memory.
func TestAMessageOfTooManyEntriesIsNotDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := func(_ *http.Request, body []byte) int { return len(body) }
		handled := 0
		s := serve(t, 1<<20, 0, Limits{}, func(w http.ResponseWriter, r *http.Request) {
			Counted(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				text, err := io.ReadAll(r.Body)
				must.NoError(t, err)
				must.Eq(t, "abcde", string(text))
				handled++
			}), entries, 1<<10).ServeHTTP(w, r)
		})
		must.Eq(t, http.StatusOK, ask(s.connect(t), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde").StatusCode)
		must.Nil(t, ask(s.connect(t), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("x", 2000)))
		must.Eq(t, 1, handled)
		synctest.Wait()
		must.Eq(t, 1, s.counts[OutOfMemory])
	})
}

// Guards against the body of a request being charged as a head, if the head arrived with the
// end of the request before it.
func TestBodyAfterAHeadThatArrivedEarlyIsNotChargedAsAHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, 200<<10, 0, Limits{BodyCost: 1, MaxBody: 10_000}, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		conn := s.connect(t)
		responses := bufio.NewReader(conn)
		go func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"+"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")
			_, _ = io.WriteString(conn, strings.Repeat("y", 100_000))
		}()
		for range 2 {
			response, err := http.ReadResponse(responses, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			_, _ = io.Copy(io.Discard, response.Body)
		}
		synctest.Wait()
		must.MapEmpty(t, s.counts)
	})
}

// Guards against requests in the handler being closed for connections that only exist,
// because their own charge and an ordinary head exceed what counts as ordinary.
func TestARequestInTheHandlerIsClosedAfterUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := serve(t, 20*connBytes, 0, Limits{Request: 64 << 10}, func(http.ResponseWriter, *http.Request) { <-release })
		conn, status := s.connect(t), make(chan int, 1)
		go func() {
			code := 0
			if response := ask(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("name: "+strings.Repeat("v", 50)+"\r\n", 30)+"\r\n"); response != nil {
				code = response.StatusCode
			}
			status <- code
		}()
		synctest.Wait()
		for range 30 {
			s.connect(t)
			synctest.Wait()
		}
		must.Positive(t, s.counts[OutOfMemory])
		close(release)
		must.Eq(t, http.StatusOK, <-status)
	})
}
