package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

// largeBody is sent while the response is awaited.
const largeBody = 64 << 10

// stuckConn is a connection on which nothing moves before it is closed. A write
// that was in progress reports its bytes a little later.
type stuckConn struct {
	net.Conn
	close  sync.Once
	closed chan struct{}
}

func newStuckConn() *stuckConn { return &stuckConn{closed: make(chan struct{})} }

func (c *stuckConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *stuckConn) Write(p []byte) (int, error) {
	<-c.closed
	time.Sleep(time.Millisecond)
	return len(p), nil
}

func (c *stuckConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}

func (c *stuckConn) SetReadDeadline(time.Time) error  { return nil }
func (c *stuckConn) SetWriteDeadline(time.Time) error { return nil }

func post(t *testing.T, body io.Reader, length int64) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://a/", body)
	must.NoError(t, err)
	req.ContentLength = length
	return req
}

func TestWriteInProgressAtTheCancellationCountsAsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := upstream.NewPool(upstream.WithDial(func(context.Context, string) (net.Conn, error) { return newStuckConn(), nil }))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := pool.Send(ctx, "i:1", post(t, bytes.NewReader(make([]byte, largeBody)), largeBody))
		failure := failureOf(t, err)
		must.Eq(t, upstream.Cancelled, failure.Cause())
		must.True(t, failure.Wrote())
	})
}

// stuckBody is a body of which nothing arrives before it is closed.
type stuckBody struct {
	closed <-chan struct{}
	close  context.CancelFunc
}

func newStuckBody() stuckBody {
	ctx, cancel := context.WithCancel(context.Background())
	return stuckBody{closed: ctx.Done(), close: cancel}
}

func (b stuckBody) Read([]byte) (int, error) {
	<-b.closed
	return 0, http.ErrBodyReadAfterClose
}

func (b stuckBody) Close() error {
	b.close()
	return nil
}

func TestCancellationEndsTheReadOfARequestBody(t *testing.T) {
	for name, length := range map[string]int64{"small": 1, "large": largeBody, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := upstream.NewPool(upstream.WithDial(func(context.Context, string) (net.Conn, error) { return newStuckConn(), nil }))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				started := time.Now()
				_, err := pool.Send(ctx, "i:1", post(t, newStuckBody(), length))
				must.True(t, failureOf(t, err).Wrote()) // the header
				must.Less(t, time.Second+time.Second/2, time.Since(started))
			})
		})
	}
}

func TestNothingIsWrittenAfterTheCancellation(t *testing.T) {
	i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
		for readRequest(r) != "" {
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := upstream.NewPool()
	t.Cleanup(pool.Close)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		_, err := fetch(t, pool, i.address(), "/")
		must.NoError(t, err)
		_, idle := pool.Links(i.address())
		must.Eq(t, 1, idle)
		_, err = pool.Send(ctx, i.address(), get(t, "/"))
		must.False(t, failureOf(t, err).Wrote())
	}
}

// betweenProbes is a time at which a link has acknowledged nothing lately: keepalive probes are
// sent, and acknowledged, each second.
const betweenProbes = 600 * time.Millisecond

// What hung in a network partition reached instances when it ended, long after the requests had
// their outcome, and counted as repeats.
func TestRequestThatIsGivenUpIsReset(t *testing.T) {
	for name, giveUp := range map[string]func(cancel context.CancelFunc){
		"cancelled": func(cancel context.CancelFunc) {
			time.Sleep(300 * time.Millisecond)
			cancel()
		},
		"deadline": func(context.CancelFunc) {},
	} {
		ended := make(chan error, 1)
		read := make(chan struct{})
		i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			close(read)
			_, err := r.ReadByte()
			ended <- err
			_ = conn.Close()
		})
		pool := upstream.NewPool()
		ctx, cancel := context.WithTimeout(t.Context(), betweenProbes)
		go func() {
			<-read
			giveUp(cancel)
		}()
		_, err := pool.Send(ctx, i.address(), get(t, "/x"))
		must.Error(t, err)
		cancel()
		must.ErrorIs(t, <-ended, syscall.ECONNRESET, must.Sprint(name))
	}
}
