package host

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// pipes is a listener in memory.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

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

// connect returns a connection on which the text has been sent.
func (p *pipes) connect(t *testing.T, text string) net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	if text != "" {
		_, err := io.WriteString(client, text)
		must.NoError(t, err)
	}
	synctest.Wait()
	return client
}

// stopped stops servers with a listener on which the text has been sent, and
// returns the connection and how long the stop took. Requests may take held.
func stopped(t *testing.T, held time.Duration, handler http.HandlerFunc, text string) (net.Conn, time.Duration) {
	all := newServers(hclog.NewNullLogger())
	listener := newPipes()
	go serve(all.listener(handler), listener, hclog.NewNullLogger())
	conn := listener.connect(t, text)
	ctx, cancel := context.WithTimeout(t.Context(), held)
	defer cancel()
	started := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		all.stop(ctx)
	}()
	if text != "" {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	took := time.Since(started)
	<-done
	return conn, took
}

const (
	testHeld = 3 * time.Second
	posted   = "POST / HTTP/1.1\r\nHost: control\r\nContent-Length: 10\r\n\r\nfirst"
)

func TestRequestWhoseBodyStallsGetsAnOutcomeAtAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took := stopped(t, testHeld, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}, posted)
		must.Eq(t, testHeld, took)
	})
}

func TestRequestThatWaitsForAQuorumGetsAnOutcomeAtAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took := stopped(t, testHeld, func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "GET / HTTP/1.1\r\nHost: control\r\n\r\n")
		must.Eq(t, testHeld, took)
	})
}

func TestConnectionWithoutARequestDoesNotHoldAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		conn, _ := stopped(t, testHeld, func(http.ResponseWriter, *http.Request) {}, "")
		_, err := conn.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		must.LessEq(t, closeTimeout, time.Since(started))
	})
}
