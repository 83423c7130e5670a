package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

// slowLink is the network link of a host: a queue that all its connections share.
type slowLink struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time     // when the last byte in the queue is through
	most time.Duration // that a request without a body waited behind others
}

// linkConn answers a request once all its bytes are through the link.
type linkConn struct {
	net.Conn
	link *slowLink
}

func (l *slowLink) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		reader := bufio.NewReader(theirs)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = new(bytes.Buffer).ReadFrom(req.Body)
			l.mu.Lock()
			through := l.free
			l.mu.Unlock()
			time.Sleep(time.Until(through))
			_, _ = theirs.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}()
	return &linkConn{Conn: ours, link: l}, nil
}

func (c *linkConn) Write(p []byte) (int, error) {
	l := c.link
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	if wait := l.free.Sub(now); len(p) < 1000 {
		l.most = max(l.most, wait)
	}
	l.free = l.free.Add(time.Duration(float64(len(p)) / l.bytesPerSecond * float64(time.Second)))
	l.mu.Unlock()
	return c.Conn.Write(p)
}

// An upload of 60 kB held up every request of its host for 0.23 s on a link of 2.1 Mbit/s.
func TestSmallRequestsDoNotWaitBehindABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond = 262_500
		l := &slowLink{bytesPerSecond: bytesPerSecond}
		pool := upstream.NewPool(upstream.WithDial(l.dial), upstream.WithPace(0.75*bytesPerSecond))
		defer pool.Close()
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				started := time.Now()
				exchange, err := pool.Send(t.Context(), "a:1", post(t, bytes.NewReader(make([]byte, 60_000)), 60_000))
				must.NoError(t, err)
				exchange.Close()
				must.Between(t, 400*time.Millisecond, time.Since(started), 700*time.Millisecond)
			})
		}
		for range 20 {
			group.Go(func() {
				req, err := http.NewRequest(http.MethodGet, "http://a/", nil)
				must.NoError(t, err)
				exchange, err := pool.Send(t.Context(), "a:1", req)
				must.NoError(t, err)
				exchange.Close()
			})
			time.Sleep(20 * time.Millisecond)
		}
		group.Wait()
		must.LessEq(t, 40*time.Millisecond, l.most)
	})
}
