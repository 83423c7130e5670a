package upstream_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

func fetchIdentified(t *testing.T, pool *upstream.Pool, address string, opts ...upstream.SendOption) (body string, err error) {
	req := get(t, "/x")
	req.Header.Set("Request-Id", "7")
	exchange, err := pool.Send(t.Context(), address, req, append(opts, upstream.WithIdentity("Request-Id", "7"))...)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	var all []byte
	part := make([]byte, 100)
	for err == nil {
		var n int
		n, err = exchange.Read(part)
		all = append(all, part[:n]...)
	}
	if err.Error() == "EOF" {
		err = nil
	}
	return string(all), err
}

func TestResponseToAnotherRequestIsDiscarded(t *testing.T) {
	i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\nContent-Length: 5\r\n\r\nother")
		write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 3\r\n\r\nown")
		readRequest(r)
	})
	pool := upstream.NewPool()
	body, err := fetchIdentified(t, pool, i.address())
	must.NoError(t, err)
	must.Eq(t, "own", body)
	open, _ := pool.Links(i.address())
	must.Eq(t, 0, open, must.Sprint("a link that carried a mismatched response was kept"))
}

// Guards against a response that echoes no identity and is taken for that to the request, or on
// whose link another request is sent.
func TestResponseWithoutTheIdentityIsMalformed(t *testing.T) {
	for name, header := range map[string]string{"none": "", "empty": "Request-Id:\r\n", "two": "Request-Id: 7\r\nRequest-Id: 7\r\n"} {
		i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			write(conn, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\n\r\nno")
			readRequest(r)
		})
		pool := upstream.NewPool()
		_, err := fetchIdentified(t, pool, i.address())
		must.Eq(t, upstream.Malformed, failureOf(t, err).Cause(), must.Sprint(name))
		must.True(t, failureOf(t, err).Wrote())
		open, _ := pool.Links(i.address())
		must.Zero(t, open)
	}
}

func TestCloseDelimitedResponseIsCompleteUnlessTheLinkIsReset(t *testing.T) {
	for reset, want := range map[bool]string{false: "all of it", true: ""} {
		i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
			readRequest(r)
			write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\nall of it")
			if reset {
				_ = conn.SetLinger(0)
			}
			_ = conn.Close()
		})
		body, err := fetchIdentified(t, upstream.NewPool(), i.address(), upstream.WithCloseDelimited())
		must.Eq(t, reset, err != nil)
		if !reset {
			must.Eq(t, want, body)
		}
	}
	i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\nall of it")
		_ = conn.Close()
	})
	_, err := fetchIdentified(t, upstream.NewPool(), i.address())
	must.Eq(t, upstream.Malformed, failureOf(t, err).Cause())
}

// Guards against an interim response that belongs to another request, or to none, as it does not
// echo the identity.
func TestInterimResponseToAnotherRequestIsLeftOut(t *testing.T) {
	i := serve(t, func(_ int, conn *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		write(conn, "HTTP/1.1 103 Early Hints\r\nRequest-Id: 6\r\n\r\n")
		write(conn, "HTTP/1.1 103 Early Hints\r\nRequest-Id: 7\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
		write(conn, "HTTP/1.1 103 Early Hints\r\nRequest-Id: 7\r\nRequest-Id: 6\r\n\r\n")
		write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 3\r\n\r\nown")
	})
	var ids []string
	body, err := fetchIdentified(t, upstream.NewPool(), i.address(), upstream.WithInterimHandler(func(_ int, header http.Header) {
		ids = append(ids, header.Get("Request-Id"))
	}))
	must.NoError(t, err)
	must.Eq(t, "own", body)
	must.Eq(t, []string{"7"}, ids)
}
