package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const (
	earlyRuns    = 10 // of each path, as the kernel decides which side learns of the end first
	responsePart = "part of the response"
)

// uploadSizes are of a request that is kept whole and of one that is streamed.
var uploadSizes = []int{60 << 10, 1 << 20}

// writerFirstConn is a connection whose end the writer learns of before the reader. An error of
// a socket is reported once, to the side that comes first.
type writerFirstConn struct {
	net.Conn
	once     sync.Once
	failed   chan struct{} // closed by a write that failed
	received int
}

func (c *writerFirstConn) Read(p []byte) (int, error) {
	if c.received > 0 {
		<-c.failed
	}
	n, err := c.Conn.Read(p)
	c.received += n
	return n, err
}

func (c *writerFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *writerFirstConn) Close() error {
	c.once.Do(func() { close(c.failed) })
	return c.Conn.Close()
}

func writerFirst(ctx context.Context, address string) (net.Conn, error) {
	conn, err := smallDial(ctx, address)
	return &writerFirstConn{Conn: conn, failed: make(chan struct{})}, err
}

var dials = map[string]upstream.Dial{"any order": smallDial, "writer first": writerFirst}

// eachEarlyResponse calls check with the result of uploads that instances respond to at once,
// without a length, by each way.
func eachEarlyResponse(t *testing.T, end func(*net.TCPConn), check func(t *testing.T, got reply, err error)) {
	for _, way := range ways {
		for name, dial := range dials {
			for _, size := range uploadSizes {
				if (way == hedged || way == retried) && size != uploadSizes[0] {
					continue // only a request that is kept whole can be sent twice
				}
				t.Run(fmt.Sprintf("%s/%s/%d", way, name, size), func(t *testing.T) {
					f := &fault{way: way, script: func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+responsePart)
						end(conn)
					}}
					host := f.start(t, dial, withCloseDelimited)
					for range earlyRuns {
						got, err := f.upload(t, host, size)
						check(t, got, err)
					}
				})
			}
		}
	}
}

// Guards against a part of a response that is forwarded as the whole: the instance resets the
// connection while the request is being written, and the write consumes the reset.
func TestResponseToAnUploadThatIsResetIsIncompleteOnEveryPath(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	eachEarlyResponse(t, reset, func(t *testing.T, got reply, err error) {
		if err == nil {
			must.Eq(t, outcome.Unknown, got.outcome(), must.Sprint(got.body))
		}
	})
}

// Guards against a whole response that is forwarded as incomplete, or not at all, because the
// instance did not read the rest of the upload.
func TestWholeResponseToAnUploadIsCompleteOnEveryPath(t *testing.T) {
	finish := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_ = conn.Close() // resets the connection, as there are unread bytes
	}
	eachEarlyResponse(t, finish, func(t *testing.T, got reply, err error) {
		must.NoError(t, err)
		must.Eq(t, outcome.Answer, got.outcome())
		must.Eq(t, responsePart, got.body)
	})
}

// writerDoneConn is a connection of which nothing is read before a write has failed.
type writerDoneConn struct{ *writerFirstConn }

func (c writerDoneConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.Conn.Read(p)
}

func writerDone(ctx context.Context, address string) (net.Conn, error) {
	conn, err := smallDial(ctx, address)
	return writerDoneConn{&writerFirstConn{Conn: conn, failed: make(chan struct{})}}, err
}

// Guards against a response that is held back until the caller has sent a body that the
// instance, whose connection is closed already, will not read, and against one that is cut
// because the server reads from the caller after the upload has failed.
func TestResponseIsSentBeforeTheRestOfTheUploadArrives(t *testing.T) {
	for framing, response := range map[string]string{
		"no length": "\r\n" + responsePart,
		"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(responsePart), responsePart),
		"chunked":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(responsePart), responsePart),
	} {
		for order, dial := range map[string]upstream.Dial{"writer first": writerFirst, "writer done": writerDone} {
			f := &fault{way: direct, script: func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+response)
				_ = conn.CloseWrite()
			}}
			host := f.start(t, dial, withCloseDelimited)
			for range earlyRuns {
				must.Eq(t, responsePart, uploadInPart(t, host), must.Sprint(framing, ", ", order))
			}
		}
	}
}

// uploadInPart returns the body of the response to a request whose body is sent in part only.
func uploadInPart(t *testing.T, host string) string {
	t.Helper()
	conn, err := net.Dial("tcp", host)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "PUT /x HTTP/1.1\r\nHost: shop\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 150_000))
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(body)
}
