package host

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

func TestConnectionAcceptedAsTheServerStopsIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(&http.Server{})
		must.NoError(t, s.stop(t.Context(), func() int { return 0 }))
		host, caller := net.Pipe()
		must.NoError(t, caller.SetReadDeadline(time.Now().Add(time.Minute)))
		s.track(host, http.StateNew)
		_, err := caller.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
	})
}

// closedListener is a listener that has been closed.
type closedListener struct{ net.Listener }

func (closedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (closedListener) Close() error              { return net.ErrClosed }

func TestClosedListenerIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		s := newCallerServer(&http.Server{})
		s.start(closedListener{}, hclog.New(&hclog.LoggerOptions{Output: &lines}))
		synctest.Wait()
		must.Eq(t, "", lines.String())
	})
}

// oneConnection is a listener that accepts one connection.
type oneConnection struct {
	net.Listener
	conns  chan net.Conn
	closed <-chan struct{}
	close  context.CancelFunc
}

func (l oneConnection) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l oneConnection) Close() error {
	l.close()
	return nil
}

// A request can be admitted at the moment at which the host takes itself to be
// drained.
func TestServerWaitsForARequestThatIsStillInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inFlight := atomic.Int32{}
		s := newCallerServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			inFlight.Add(1)
			defer inFlight.Add(-1)
			time.Sleep(5 * time.Second)
		})})
		host, caller := net.Pipe()
		closed, closeListener := context.WithCancel(t.Context())
		listener := oneConnection{conns: make(chan net.Conn, 1), closed: closed.Done(), close: closeListener}
		listener.conns <- host
		s.start(listener, hclog.NewNullLogger())
		go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
		statuses := make(chan int, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
		synctest.Wait()
		s.closeListener()
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		must.NoError(t, s.stop(ctx, func() int { return int(inFlight.Load()) }))
		must.Eq(t, http.StatusOK, <-statuses)
	})
}
