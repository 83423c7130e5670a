package host

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/discovery"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/key"
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

func TestEndlessAnnouncementEndsInTime(t *testing.T) {
	const put = "PUT /v1/instances/i HTTP/1.1\r\nHost: e\r\n"
	piece := strings.Repeat("a", 1000)
	tests := map[string]struct {
		start, piece string
		pause        time.Duration
		want         string
	}{
		"length":          {put + "Content-Length: 1000000000\r\n\r\n\"", piece, 0, "HTTP/1.1 413 "},
		"chunks":          {put + "Transfer-Encoding: chunked\r\n\r\n1\r\n\"\r\n", "3e8\r\n" + piece + "\r\n", 0, "HTTP/1.1 413 "},
		"extension":       {put + "Transfer-Encoding: chunked\r\n\r\n1;", piece, 0, "HTTP/1.1 400 "},
		"not read":        {"GET /livez HTTP/1.1\r\nHost: e\r\nContent-Length: 1000000000\r\n\r\n", piece, 0, "HTTP/1.1 200 "},
		"trickled length": {put + "Content-Length: 1000000000\r\n\r\n\"", "a", time.Second, "HTTP/1.1 400 "},
		"trickled chunk":  {put + "Transfer-Encoding: chunked\r\n\r\n1;", "a", time.Second, "HTTP/1.1 400 "},
		"trickled, not read": {
			"GET /livez HTTP/1.1\r\nHost: e\r\nContent-Length: 1000\r\n\r\n", "a", time.Second, "",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newPlatformServer(settings.Default(), discovery.New(discovery.Config{Keys: key.New()}))
				started := time.Now()
				received, taken := sendEndless(t, server, test.start, test.piece, test.pause)
				must.LessEq(t, 20*time.Second, time.Since(started))
				must.StrHasPrefix(t, test.want, received)
				must.LessEq(t, 300_000, taken)
			})
		})
	}
}
