package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

// The body of an upload that no socket buffer holds.
const longUploadBytes = 64 << 20

// order is the order in which the two sides of an exchange learn that its link ended.
type order string

const (
	anyOrder    order = "in any order"
	writerFirst order = "the writer first"
	writerLate  order = "the writer first, which reports it last"
)

const (
	earlyRuns    = 20 // of each order, as the kernel decides what remains of it
	responsePart = "part of the response"
)

// orderedConn delays reads or the results of writes, so that a fault is noticed in a fixed
// order. Read consumes the error of a socket as Write does: the other one gets what remains.
type orderedConn struct {
	net.Conn
	order      order
	failed     chan struct{} // closed by a write that failed
	ended      chan struct{} // closed by a read that failed
	failedOnce sync.Once
	endedOnce  sync.Once
	received   int
}

func (c *orderedConn) Read(p []byte) (int, error) {
	if c.order != anyOrder && c.received > 0 {
		<-c.failed
	}
	n, err := c.Conn.Read(p)
	c.received += n
	if err != nil {
		c.endedOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *orderedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failedOnce.Do(func() { close(c.failed) })
		if c.order == writerLate {
			<-c.ended
		}
	}
	return n, err
}

func orderedDial(o order) upstream.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := patientDial(ctx, address)
		if err != nil || o == anyOrder {
			return conn, err
		}
		return &orderedConn{Conn: conn, order: o, failed: make(chan struct{}), ended: make(chan struct{})}, nil
	}
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// uploads are requests whose rest the instance does not read.
func uploads() map[string]func() *http.Request {
	post := func(body io.Reader, length int64) *http.Request {
		req, _ := http.NewRequest(http.MethodPost, "http://a/x", body)
		req.ContentLength = length
		return req
	}
	return map[string]func() *http.Request{
		"long":    func() *http.Request { return post(io.LimitReader(endlessBody{}, longUploadBytes), longUploadBytes) },
		"chunked": func() *http.Request { return post(endlessBody{}, -1) },
	}
}

// earlyResponse serves responses without a length before the request was read, and ends each
// with the given function.
func earlyResponse(t *testing.T, end func(conn *net.TCPConn)) *instance {
	return serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
		_ = conn.SetReadBuffer(4 << 10)
		_, _ = http.ReadRequest(r)
		write(conn, "HTTP/1.1 200 OK\r\n\r\n"+responsePart)
		end(conn)
	})
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// finish ends the sending side, and resets the connection only after that.
func finish(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_ = conn.Close()
}

func read(t *testing.T, address string, o order, req *http.Request) (string, error) {
	pool := upstream.NewPool(upstream.WithDial(orderedDial(o)))
	defer pool.Close()
	exchange, err := pool.Send(t.Context(), address, req, upstream.WithCloseDelimited())
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	data, err := io.ReadAll(exchange)
	return string(data), err
}

// Guards against a reset that the write of the request consumes, after which the read of the
// response finds a clean end: a part of a response then counts as the whole.
func TestResponseIsIncompleteIfTheLinkIsResetDuringTheUpload(t *testing.T) {
	i := earlyResponse(t, reset)
	for name, upload := range uploads() {
		for _, o := range []order{anyOrder, writerFirst, writerLate} {
			for range earlyRuns {
				_, err := read(t, i.address(), o, upload())
				must.Error(t, err, must.Sprint(name, ": ", o))
			}
		}
	}
}

// Guards against a whole response that counts as incomplete because the instance closed the
// link without reading the rest of the upload.
func TestResponseIsCompleteIfTheInstanceEndsItAndReadsNoMore(t *testing.T) {
	i := earlyResponse(t, finish)
	for name, upload := range uploads() {
		for _, o := range []order{anyOrder, writerFirst, writerLate} {
			for range earlyRuns {
				got, err := read(t, i.address(), o, upload())
				must.NoError(t, err, must.Sprint(name, ": ", o))
				must.Eq(t, responsePart, got)
			}
		}
	}
}

// Guards against a response that is complete and held back until the instance reads the rest
// of an upload, which it may never do.
func TestEndOfAResponseDoesNotWaitForTheUpload(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	i := earlyResponse(t, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-held
	})
	waiting, w := io.Pipe() // a caller that sends nothing more
	go write(w, "start")
	for name, body := range map[string]io.Reader{"blocked write": endlessBody{}, "blocked read": waiting} {
		req, err := http.NewRequest(http.MethodPost, "http://a/x", body)
		must.NoError(t, err)
		got, err := read(t, i.address(), anyOrder, req)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, responsePart, got)
	}
}

// failingConn writes until the link fails, as a request does that the instance resets.
type failingConn struct{ net.Conn }

func (c failingConn) Write(p []byte) (int, error) {
	total := 0
	for {
		n, err := c.Conn.Write(p)
		total += n
		if err != nil {
			return min(total, len(p)-1), err
		}
	}
}

// Guards against a short request, which is written before the response is read and whose
// write consumes the reset.
func TestResponseIsIncompleteIfTheLinkIsResetDuringAShortUpload(t *testing.T) {
	i := earlyResponse(t, reset)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := patientDial(ctx, address)
		return failingConn{conn}, err
	}
	for range earlyRuns {
		req, err := http.NewRequest(http.MethodPost, "http://a/x", strings.NewReader(strings.Repeat("x", 1<<10)))
		must.NoError(t, err)
		pool := upstream.NewPool(upstream.WithDial(dial))
		exchange, err := pool.Send(t.Context(), i.address(), req, upstream.WithCloseDelimited())
		if err == nil {
			_, err = io.ReadAll(exchange)
			exchange.Close()
		}
		must.Error(t, err)
	}
}
