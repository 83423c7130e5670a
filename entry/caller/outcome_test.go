package caller_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/framing"
	"github.com/snipebeam/snipebeam/world/outcome"
)

func TestOutcomeOfEachFault(t *testing.T) {
	reset := func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
	tests := map[string]struct {
		script func(conn net.Conn, r *bufio.Reader)
		kind   outcome.Kind
		reason outcome.Reason
		cut    bool
	}{
		"reset before the answer": {func(conn net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r); reset(conn) }, outcome.Unknown, outcome.UpstreamLost, false},
		"end before the answer":   {func(_ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) }, outcome.Unknown, outcome.UpstreamLost, false},
		"end in the head": {func(conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		}, outcome.Unknown, outcome.UpstreamLost, false},
		"answer without an end": {func(conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
		}, outcome.Unknown, outcome.UpstreamLost, false},
		"refused before starting": {func(conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nSnipebeam-Not-Started: shed\r\nContent-Length: 0\r\n\r\n")
		}, outcome.NotRun, outcome.UpstreamRefused, false},
		"short body": {func(conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		}, outcome.Answer, "", true},
		"reset in the body": {func(conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			reset(conn)
		}, outcome.Answer, "", true},
		"no last chunk": {func(conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n")
		}, outcome.Answer, "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, viewsOf(rawInstance(t, test.script)), newClaims())
			got, err := do(newRequest(t, http.MethodPost, serveEntry(t, e), "/x", "body"))
			must.Eq(t, test.cut, err != nil)
			if !test.cut || got.header != nil {
				must.Eq(t, test.kind, got.outcome())
				must.Eq(t, test.reason, got.reason())
			}
			n, _ := e.backlog.InFlight(time.Now())
			must.Zero(t, n)
		})
	}
}

func TestTruncatedResponseToAnHTTP10CallerIsReset(t *testing.T) {
	for name, response := range map[string]string{
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf",
		"whole":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawInstance(t, func(conn net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(conn, response)
			})
			server := httptest.NewUnstartedServer(newEntry(t, viewsOf(address), newClaims()).handler)
			server.Listener = framing.Protect(server.Config, caller.LimitListener(server.Listener, 10, 0))
			server.Start()
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET /plain/1 HTTP/1.0\r\nHost: shop\r\n\r\n")
			must.NoError(t, err)
			data, err := io.ReadAll(conn)
			switch name {
			case "chunks":
				must.ErrorIs(t, err, syscall.ECONNRESET)
			case "length":
				must.StrContains(t, string(data), "Content-Length: 8")
			case "whole":
				must.NoError(t, err)
				must.StrHasSuffix(t, "half", string(data))
			}
		})
	}
}

// A server of the test that got the address would answer in the place of an
// instance that is gone.
func TestDeadAddressIsNotGivenToAServer(t *testing.T) {
	address := deadAddress(t)
	_, err := net.Listen("tcp", address)
	must.ErrorIs(t, err, syscall.EADDRINUSE)
	_, err = net.Dial("tcp", address)
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
}

func TestNotRunWhereNothingWasSent(t *testing.T) {
	unreachable := deadAddress(t)
	tests := map[string]struct {
		method, path, body string
		header             []string
		status             int
		reason             outcome.Reason
	}{
		"no instance takes links": {http.MethodPost, "/x", "b", nil, http.StatusBadGateway, outcome.UpstreamLost},
		"no such service":         {http.MethodGet, "/x", "", []string{caller.ServiceHeader, "none"}, http.StatusNotFound, outcome.UnknownService},
		"no rule":                 {http.MethodDelete, "/x", "", nil, http.StatusNotFound, outcome.NoRule},
		"key missing":             {http.MethodPost, "/pay/1", "b", nil, http.StatusBadRequest, outcome.KeyMissing},
		"change of protocol":      {http.MethodGet, "/x", "", []string{"Connection", "Upgrade", "Upgrade", "websocket"}, http.StatusNotImplemented, outcome.UpgradeRefused},
		"body too large":          {http.MethodPost, "/photos/1", strings.Repeat("a", 1<<20+1), nil, http.StatusRequestEntityTooLarge, outcome.BodyTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, viewsOf(unreachable), newClaims())
			got := call(t, test.method, serveEntry(t, e), test.path, test.body, test.header...)
			must.Eq(t, outcome.NotRun, got.outcome())
			must.Eq(t, test.reason, got.reason())
			must.Eq(t, test.status, got.status)
			must.StrContains(t, got.body, `"decision":"`+got.header.Get(outcome.DecisionHeader)+`"`)
		})
	}
}

func TestResponseIsForwardedWithInterimResponsesAndTrailers(t *testing.T) {
	address := httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</a.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.Header().Set("Trailer", "Digest")
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(bytes.ToUpper(data))
		w.Header().Set("Digest", "abc")
	})
	e := newEntry(t, viewsOf(address), newClaims())
	got := call(t, http.MethodPost, serveEntry(t, e), "/x", strings.Repeat("a", 300_000))
	must.Eq(t, strings.Repeat("A", 300_000), got.body)
	must.Eq(t, "abc", got.trailer.Get("Digest"))
	must.Eq(t, "", got.header.Get("Link"))
}

func TestContinueIsSentOnlyOnceTheBodyIsWanted(t *testing.T) {
	address := httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(data)
	})
	entry := serveEntry(t, newEntry(t, viewsOf(address), newClaims()))
	got := raw(t, entry, "POST /x HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	must.StrHasPrefix(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", got)
	got = raw(t, entry, "POST /pay/1 HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\n")
	must.StrHasPrefix(t, "HTTP/1.1 400 ", got)
}

func TestRequestsAreReserializedBeforeForwarding(t *testing.T) {
	tests := map[string]struct {
		text   string
		prefix string
		ran    int32
	}{
		"both lengths":       {"POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n1\r\nZ\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: shop\r\n\r\n", "HTTP/1.1 200", 1},
		"two lengths":        {"POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\nContent-Length: 5\r\nConnection: close\r\n\r\nabcde", "HTTP/1.1 400", 0},
		"unknown coding":     {"POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: xchunked\r\nConnection: close\r\n\r\n0\r\n\r\n", "HTTP/1.1 501", 0},
		"space before colon": {"GET /a HTTP/1.1\r\nHost: shop\r\nX : a\r\nConnection: close\r\n\r\n", "HTTP/1.1 400", 0},
		"bare LF":            {"GET /a HTTP/1.1\nHost: shop\nConnection: close\n\n", "HTTP/1.1 200", 1},
		"folded header":      {"GET /a HTTP/1.1\r\nHost: shop\r\nX: a\r\n b\r\nConnection: close\r\n\r\n", "HTTP/1.1 200", 1},
		"bad chunk length":   {"POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n1x\r\nZ\r\n0\r\n\r\n", "HTTP/1.1 400", 0},
		"no host":            {"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 400", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var seen atomic.Int32
			address := httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
				seen.Add(1)
				data, _ := io.ReadAll(r.Body)
				_, _ = fmt.Fprintf(w, "%s %d %v %q %q", r.URL.Path, r.ContentLength, r.TransferEncoding, r.Header.Get("X"), data)
			})
			got := raw(t, serveEntry(t, newEntry(t, viewsOf(address), newClaims())), test.text)
			must.StrHasPrefix(t, test.prefix, got)
			must.StrNotContains(t, got, "evil")
			if test.ran > 0 {
				must.Eq(t, test.ran, seen.Load())
			}
		})
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	address := httpInstance(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "answer of "+r.URL.Path) })
	entry := serveEntry(t, newEntry(t, viewsOf(address), newClaims()))
	got := raw(t, entry, "GET /1 HTTP/1.1\r\nHost: shop\r\n\r\nGET /2 HTTP/1.1\r\nHost: shop\r\n\r\nGET /3 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n")
	first, second, third := strings.Index(got, "answer of /1"), strings.Index(got, "answer of /2"), strings.Index(got, "answer of /3")
	must.True(t, 0 < first && first < second && second < third)
}

func TestEarlyResponseReachesTheCallerDuringItsUpload(t *testing.T) {
	address := rawInstance(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, r)
	})
	e := newEntry(t, viewsOf(address), newClaims())
	conn, err := net.Dial("tcp", serveEntry(t, e))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /photos/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 900000\r\n\r\nthe start")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, "no", string(data))
	must.True(t, response.Close)
}

func TestPanicReleasesTicketAndBacklogEntryAndIsNoAbort(t *testing.T) {
	e := newEntry(t, viewsOf(deadAddress(t)), newClaims(), func(cfg *caller.Config) { cfg.Pool = nil })
	got := call(t, http.MethodPost, serveEntry(t, e), "/x", "b")
	must.Eq(t, http.StatusInternalServerError, got.status)
	must.Eq(t, outcome.Internal, got.reason())
	n, _ := e.backlog.InFlight(time.Now())
	must.Zero(t, n)
}

func TestUploadIsTruncatedWhenTheCallerDisconnects(t *testing.T) {
	cut := make(chan error, 1)
	address := httpInstance(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		cut <- err
	})
	conn, err := net.Dial("tcp", serveEntry(t, newEntry(t, viewsOf(address), newClaims())))
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST /photos/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 900000\r\n\r\nthe start")
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	must.True(t, errors.Is(<-cut, io.ErrUnexpectedEOF))
}

func TestChunkedBodyOverTheLimitIsTruncated(t *testing.T) {
	cut := make(chan error, 1)
	address := httpInstance(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		cut <- err
	})
	req := newRequest(t, http.MethodPost, serveEntry(t, newEntry(t, viewsOf(address), newClaims())), "/photos/1", "")
	req.Body = io.NopCloser(strings.NewReader(strings.Repeat("a", 2<<20)))
	req.ContentLength = -1
	got, err := do(req)
	if err == nil { // the caller may see the closed connection first
		must.Eq(t, outcome.BodyTooLarge, got.reason())
		must.Eq(t, outcome.Unknown, got.outcome())
	}
	must.Error(t, <-cut)
}
