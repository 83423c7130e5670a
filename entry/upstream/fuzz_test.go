package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

// FuzzResponse answers a request with arbitrary bytes, and the next one, of another identity,
// as an instance does. The next caller gets its own answer.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nRequest-Id: 3\r\nContent-Length: 0\r\n\r\n",
		"\x00\xff",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if bytes.Contains(bytes.ToLower(data), []byte("request-id: 2")) {
			t.Skip("an instance that names the next request")
		}
		pool := upstream.NewPool(upstream.WithDial(func(context.Context, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go answer(theirs, data)
			return ours, nil
		}))
		defer pool.Close()
		for _, id := range []string{"1", "2"} {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/"+id, nil)
			must.NoError(t, err)
			req.Header.Set("Request-Id", id)
			exchange, err := pool.Send(ctx, "a:1", req, upstream.WithIdentity("Request-Id", id))
			if err == nil {
				must.Eq(t, []string{id}, exchange.Response().Header.Values("Request-Id"))
				body, err := io.ReadAll(exchange)
				exchange.Close()
				if id == "2" && err == nil {
					must.Eq(t, "answer to 2", string(body))
				}
			}
			cancel()
		}
	})
}

// answer sends the data to the first request, and a proper response to the second.
func answer(conn net.Conn, data []byte) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.Header.Get("Request-Id") == "1" {
			if _, err := conn.Write(data); err != nil {
				return
			}
			continue
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 11\r\n\r\nanswer to 2"); err != nil {
			return
		}
	}
}
