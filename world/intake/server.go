// Package intake bounds what clients make a process hold. One budget for the process is
// charged for each connection, line of a head, byte and request before it is kept. When
// the budget is spent, the connections that hold most are closed, not those that come
// next. A head of too many or too long lines is refused with 431.
//
// Usage:
//
//	budget := intake.NewBudget(intake.BytesOf(intake.Memory(0)), intake.Connections(0))
//	listener = intake.Protect(server, listener, budget, intake.Limits{HeadLines: 4096})
//	server.Serve(listener)
package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// DefaultHeadLines is the number of lines in a head of 16,384 bytes whose lines are as
// short as a line can be.
const DefaultHeadLines = 4096

// headSlop is what net/http accepts in a head beyond the limit that it is given.
const headSlop = 4096

// Limits bounds the requests of one listener.
type Limits struct {
	HeadLines   int                         // 0: DefaultHeadLines
	Request     int64                       // bytes that a request holds while it is handled, beside its head and body
	Extra       func(r *http.Request) int64 // more bytes that some requests hold, nil for none
	BodyCost    int64                       // bytes held for a byte of a body
	MaxBody     int64                       // the most that is held for a body, 0 for no bound
	BodyTimeout time.Duration               // time to receive progressBytes of a body, 0 for no bound
}

// Protect makes a server charge its connections to the budget, and returns the listener
// that it must use. It must come after the server's own limits are set.
func Protect(server *http.Server, listener net.Listener, budget *Budget, limits Limits) net.Listener {
	if limits.HeadLines == 0 {
		limits.HeadLines = DefaultHeadLines
	}
	headBytes := server.MaxHeaderBytes
	if headBytes <= 0 {
		headBytes = http.DefaultMaxHeaderBytes
	}
	server.Handler = limits.guard(server.Handler)
	trackConns(server)
	return &connListener{Listener: listener, budget: budget, bytes: connBytes, meter: &meter{
		maxLines: limits.HeadLines, maxBytes: headBytes + headSlop, bodyCost: limits.BodyCost, maxBodyCost: limits.MaxBody,
	}}
}

type connKey struct{}

// trackConns makes requests know their connection, and connections the end of their
// requests.
func trackConns(server *http.Server) {
	withContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if withContext != nil {
			ctx = withContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, find(c))
	}
	changed := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own := find(c); own != nil && state == http.StateIdle {
			own.end()
		}
		if changed != nil {
			changed(c, state)
		}
	}
}

// find returns the connection of this package that others wrap, or nil.
func find(c net.Conn) *conn {
	for c != nil {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// guard charges requests, and bounds the time that their bodies take.
func (l Limits) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		bytes := l.Request
		if l.Extra != nil {
			bytes += l.Extra(r)
		}
		if err := c.begin(bytes); err != nil {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		if l.BodyTimeout > 0 && r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(l.BodyTimeout))
			r.Body = &timedBody{ReadCloser: r.Body, controller: controller, budget: c.budget, timeout: l.BodyTimeout}
		}
		next.ServeHTTP(w, r)
	})
}

// progressBytes of a body extend the time for the rest of it.
const progressBytes = 16 << 10

// timedBody bounds the time between progressBytes of a body. It clears the read deadline
// at the end, after which the server reads on to see whether the client leaves.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	budget     *Budget
	timeout    time.Duration
	bytes      int // since the deadline was extended
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += n
	switch {
	case err == nil && b.bytes >= progressBytes:
		b.bytes = 0
		_ = b.controller.SetReadDeadline(time.Now().Add(b.timeout))
	case errors.Is(err, io.EOF):
		_ = b.controller.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.budget.observe(SlowBody)
	}
	return n, err
}
