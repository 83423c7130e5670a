package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/backlog"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

func TestHeldRequestHasTheIDOfItsDecision(t *testing.T) {
	var e *entryHost
	var held []backlog.Held
	address := httpInstance(t, func(http.ResponseWriter, *http.Request) { held = e.backlog.Held(time.Now()) })
	e = newEntry(t, viewsOf(address), newClaims())
	got := call(t, http.MethodGet, serveEntry(t, e), "/x", "")
	must.Len(t, 1, held)
	must.Eq(t, got.header.Get(outcome.DecisionHeader), held[0].ID)
	must.Eq(t, instance.ID(address), held[0].Instance)
	must.Eq(t, backlog.Awaiting, held[0].Phase)
}

func TestHeldUploadIsNotTakenForOneThatAwaitsItsResponse(t *testing.T) {
	var e *entryHost
	var held []backlog.Held
	address := rawInstance(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		held = e.backlog.Held(time.Now())
		_, _ = io.WriteString(conn, "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, r)
	})
	e = newEntry(t, viewsOf(address), newClaims())
	conn, err := net.Dial("tcp", serveEntry(t, e))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /photos/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 900000\r\n\r\nthe start")
	must.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Len(t, 1, held)
	must.Eq(t, backlog.Receiving, held[0].Phase)
}
