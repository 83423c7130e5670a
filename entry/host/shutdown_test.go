package host

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// oneConn is a listener that accepts one connection in memory.
type oneConn struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConn) Close() error {
	close(l.closed)
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

func TestUnfinishedRequestAtASideListenerDoesNotHoldAStop(t *testing.T) {
	for _, sent := range []string{"", "GET /v1/readyz HTT", "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\nfirst"} {
		synctest.Test(t, func(t *testing.T) {
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
			}), ReadHeaderTimeout: time.Minute}
			client, conn := net.Pipe()
			listener := &oneConn{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
			listener.conns <- conn
			go func() { _ = server.Serve(listener) }()
			if sent != "" {
				_, err := io.WriteString(client, sent)
				must.NoError(t, err)
			}
			synctest.Wait()
			started := time.Now()
			must.NoError(t, shutdown(server)(t.Context()))
			must.LessEq(t, closeTimeout, time.Since(started))
		})
	}
}
