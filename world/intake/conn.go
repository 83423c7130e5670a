package intake

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// connBytes is what a connection takes without a request: the reader and the writer of
// the server, the stacks of its goroutines and the connection itself.
const connBytes = 24 << 10

// Times for the response to a refused head, and for the client to take it before the
// connection is closed, which would discard it.
const (
	refuseTimeout = 100 * time.Millisecond
	lingerTimeout = 500 * time.Millisecond
)

const refused = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Listen returns a listener whose connections are charged with a fixed number of bytes
// each.
func Listen(listener net.Listener, budget *Budget, bytes int64) net.Listener {
	return &connListener{Listener: listener, budget: budget, bytes: bytes}
}

type connListener struct {
	net.Listener
	budget *Budget
	bytes  int64
	meter  *meter // nil: bytes are not counted
}

// Accept returns the next connection. Others are closed to make room for it.
func (l *connListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, budget: l.budget}
	if l.meter != nil {
		own := *l.meter
		c.meter = &own
	}
	c.account = l.budget.open(l.bytes, func() { _ = inner.Close() })
	return c, nil
}

// conn charges what it reads to the budget.
type conn struct {
	net.Conn
	budget  *Budget
	account *Account
	closed  sync.Once

	mu      sync.Mutex
	meter   *meter
	serving bool
}

// NetConn returns the connection without the budget.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and returns what it held.
func (c *conn) Close() error {
	c.closed.Do(func() { c.budget.remove(c.account) })
	return c.Conn.Close()
}

// Read reads bytes that the budget has room for.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.meter == nil {
		return n, err
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.inHead() {
		c.budget.observe(SlowHead)
	}
	if n == 0 {
		return n, err
	}
	cost, refusal := c.count(p[:n])
	if refusal != "" {
		c.refuse(refusal, p)
		return 0, io.EOF
	}
	if chargeErr := c.budget.charge(c.account, cost); chargeErr != nil {
		return 0, io.EOF // for the server, the client has left
	}
	return n, err
}

func (c *conn) count(p []byte) (int64, Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := c.meter.feed(p)
	if c.serving {
		return cost, "" // a response may be under way
	}
	return cost, c.meter.refusal()
}

// inHead reports whether a part of a head has arrived.
func (c *conn) inHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.bytes > 0 && !c.meter.headEnded
}

// refuse answers the head and reads on for a moment: closing a connection with bytes to
// read resets it, and the response may be lost.
func (c *conn) refuse(refusal Refusal, buffer []byte) {
	reason := ManyBytes
	if refusal == TooManyLines {
		reason = ManyLines
	}
	c.budget.observe(reason)
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	if _, err := io.WriteString(c.Conn, refused); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// begin charges what a handler holds.
func (c *conn) begin(bytes int64) error {
	c.mu.Lock()
	c.serving = true
	c.meter.headEnded = true // also if it arrived with the request before it
	c.mu.Unlock()
	c.budget.begin(c.account)
	return c.budget.charge(c.account, bytes)
}

// end returns what the request held.
func (c *conn) end() {
	c.mu.Lock()
	c.serving = false
	tail := c.meter.next()
	c.mu.Unlock()
	c.budget.end(c.account, tail)
}
