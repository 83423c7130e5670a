package host

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

func TestConnectionAcceptedAsTheServerStopsIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCallerServer(&http.Server{})
		must.NoError(t, s.Shutdown(t.Context()))
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
