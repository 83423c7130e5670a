package upstream_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

// Guards against a request that must not be sent twice and goes on a link that has
// been idle for long, because a cancelled request took the link in between.
func TestCancelledRequestDoesNotMakeAnIdleLinkLookFresh(t *testing.T) {
	i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
		for readRequest(r) != "" {
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := upstream.NewPool()
	t.Cleanup(pool.Close)
	_, err := fetch(t, pool, i.address(), "/")
	must.NoError(t, err)
	const idle = 50 * time.Millisecond
	time.Sleep(idle)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Send(ctx, i.address(), get(t, "/"))
	must.Eq(t, upstream.Cancelled, failureOf(t, err).Cause())
	exchange, err := pool.Send(t.Context(), i.address(), get(t, "/"), upstream.WithMaxIdle(idle))
	must.NoError(t, err)
	defer exchange.Close()
	must.Eq(t, 2, i.opened.Load())
}
