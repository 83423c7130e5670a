package host

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// pipeListener accepts one in-memory connection.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

// sendEndless sends a start and then a piece, again and again, until the server
// closes the connection. It returns what the server sent and the bytes that it
// read of the pieces.
func sendEndless(t *testing.T, server *http.Server, start, piece string, pause time.Duration) (received string, taken int) {
	ours, theirs := net.Pipe()
	listener := make(pipeListener, 1)
	listener <- theirs
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	data := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(ours)
		data <- string(all)
	}()
	_, err := io.WriteString(ours, start)
	for err == nil {
		time.Sleep(pause)
		var n int
		n, err = io.WriteString(ours, piece)
		taken += n
	}
	received = <-data
	close(listener)
	must.NoError(t, server.Close())
	<-served
	return received, taken
}

func TestTrickledRequestEndsInTime(t *testing.T) {
	for _, framing := range []string{"Content-Length: 1000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1;"} {
		for _, reads := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				server := newServers(hclog.NewNullLogger()).listener(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if reads {
						_, _ = io.Copy(io.Discard, r.Body)
					}
				}))
				started := time.Now()
				_, taken := sendEndless(t, server, "POST /announcements HTTP/1.1\r\nHost: c\r\n"+framing, "a", time.Second)
				must.LessEq(t, readTimeout+2*time.Second, time.Since(started))
				must.Positive(t, taken)
			})
		}
	}
}

func TestIdleConnectionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServers(hclog.NewNullLogger()).listener(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		ours, theirs := net.Pipe()
		listener := make(pipeListener, 1)
		listener <- theirs
		go func() { _ = server.Serve(listener) }()
		reader := bufio.NewReader(ours)
		for range 2 {
			_, err := io.WriteString(ours, "GET / HTTP/1.1\r\nHost: c\r\n\r\n")
			must.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			time.Sleep(time.Hour)
		}
		close(listener)
		must.NoError(t, server.Close())
	})
}
