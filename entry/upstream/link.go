// Package upstream speaks HTTP/1.1 to instances over links that this host
// owns, so that it knows whether a byte of a request was written and whether a
// link may be used again.
//
// Usage:
//
//	pool := upstream.NewPool()
//	exchange, err := pool.Send(ctx, address, request)
//	io.Copy(w, exchange.Response().Body)
//	exchange.Close()
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Link is one connection to an instance.
type Link struct {
	conn     net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	written  atomic.Int64
	reused   bool
}

// Write sends bytes and counts them.
func (l *Link) Write(p []byte) (int, error) {
	n, err := l.conn.Write(p)
	l.written.Add(int64(n))
	return n, err
}

// dialTimeout bounds the opening of a link.
const dialTimeout = time.Second

// maxIdlePerInstance bounds the idle links kept for one instance.
const maxIdlePerInstance = 8

// Pool keeps idle links for each address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Link
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Link{}} }

// Close closes all idle links.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, links := range p.idle {
		for _, l := range links {
			_ = l.conn.Close()
		}
	}
	p.idle = map[string][]*Link{}
}

func (p *Pool) take(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	p.idle[address] = links[:len(links)-1]
	return l
}

func (p *Pool) give(address string, l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerInstance || l.reader.Buffered() > 0 {
		_ = l.conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], l)
}

func (p *Pool) open(ctx context.Context, address string) (*Link, error) {
	if l := p.take(address); l != nil {
		l.reused = true
		return l, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "open link")
	}
	return &Link{conn: conn, reader: bufio.NewReader(conn), openedAt: time.Now()}, nil
}

// Failure is an exchange that gave no answer.
type Failure struct {
	cause error
	wrote bool
}

// Error returns the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Wrote reports whether any byte of the request was written to the instance.
func (f *Failure) Wrote() bool { return f.wrote }

// Exchange is one request and its answer on one link.
type Exchange struct {
	pool     *Pool
	address  string
	link     *Link
	response *http.Response
	sent     chan error
	stop     func() bool
}

// Response returns the answer's head; its body is read from the link.
func (e *Exchange) Response() *http.Response { return e.response }

// Send writes a request and reads the head of its answer. The body of the
// request is written while the answer is awaited.
func (p *Pool) Send(ctx context.Context, address string, req *http.Request) (*Exchange, error) {
	link, err := p.open(ctx, address)
	if err != nil {
		return nil, &Failure{cause: err}
	}
	before := link.written.Load()
	e := &Exchange{pool: p, address: address, link: link, sent: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { _ = link.conn.SetDeadline(time.Unix(1, 0)) })
	go func() { e.sent <- req.Write(link) }()
	if err := e.readHead(req); err != nil {
		e.abort()
		<-e.sent
		return nil, &Failure{cause: errors.Wrap(err, "read answer"), wrote: link.written.Load() > before}
	}
	return e, nil
}

func (e *Exchange) readHead(req *http.Request) error {
	for {
		response, err := http.ReadResponse(e.link.reader, req)
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			e.response = response
			return nil
		}
	}
}

func (e *Exchange) abort() {
	e.stop()
	_ = e.link.conn.Close()
}

// Close ends the exchange. The link is kept only if the whole request was
// sent and the whole answer was read.
func (e *Exchange) Close() {
	_, err := e.response.Body.Read(make([]byte, 1))
	whole := errors.Is(err, io.EOF)
	select {
	case sendErr := <-e.sent:
		whole = whole && sendErr == nil
	default:
		whole = false
	}
	if !whole || e.response.Close || !e.stop() {
		e.abort()
		return
	}
	e.pool.give(e.address, e.link)
}
