// Package upstream is an HTTP/1.1 client with a connection pool per instance.
// Unlike net/http it reports whether any byte of a request was written, which
// decides whether a failed request can be retried, and it controls when a
// connection is reused. A persistent connection is called a link.
//
// A link is reused only if the whole request was sent, the whole response was
// read, and no bytes have arrived since. Links that exceed the idle limit are
// closed. When the instance has closed one, those that have been idle for as long are
// closed with it. When a link falls silent, all links to the same instance that are at
// least as old are retired with it.
//
// Usage:
//
//	pool := upstream.NewPool(upstream.WithMaxLinks(16))
//	go pool.Run(ctx)
//	exchange, err := pool.Send(ctx, address, request)
//	io.Copy(w, exchange)
//	exchange.Close()
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/link"
)

// Defaults of a pool.
const (
	// DefaultMaxLinks keeps 29 hosts below an instance's limit of 500 connections.
	DefaultMaxLinks  = 16
	DefaultIdleLimit = 20 * time.Second
	DefaultProgress  = 30 * time.Second

	DefaultMaxHeaderBytes = 32 << 10 // of a response, including its interim responses
)

const (
	sweepInterval = time.Second
	// silentChecksPerLimit is the number of checks of links in use within one silent limit.
	silentChecksPerLimit = 8
)

// Dial opens a connection to the address of an instance.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the links to all instances.
type Pool struct {
	dial           Dial
	opened         func(net.Conn) net.Conn // nil for none
	maxLinks       int
	maxHeaderBytes int
	idle           idleLimit
	progress       time.Duration
	silent         time.Duration
	pace           *pacer   // nil for none
	instances      sync.Map // *instanceLinks by address
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the function that opens links.
func WithDial(dial Dial) Option { return func(p *Pool) { p.dial = dial } }

// WithOpened sets a function that wraps each connection that is opened.
func WithOpened(opened func(net.Conn) net.Conn) Option { return func(p *Pool) { p.opened = opened } }

// WithMaxLinks limits the number of links to one instance.
func WithMaxLinks(n int) Option { return func(p *Pool) { p.maxLinks = n } }

// WithMaxHeaderBytes limits the size of a response header, including those of
// interim responses.
func WithMaxHeaderBytes(n int) Option { return func(p *Pool) { p.maxHeaderBytes = n } }

// WithIdleLimit limits how long an idle link is kept.
func WithIdleLimit(d time.Duration) Option { return func(p *Pool) { p.idle.most = d } }

// WithProgress limits how long a write of a request or a read of a response body
// may make no progress.
func WithProgress(d time.Duration) Option { return func(p *Pool) { p.progress = d } }

// WithSilentLimit limits how long the peer of a link in use may send neither
// data nor acknowledgements. It also replaces the dial function by one with the
// same limit.
func WithSilentLimit(d time.Duration) Option {
	return func(p *Pool) {
		p.silent = d
		p.dial = dialer(d)
	}
}

func dialer(silent time.Duration) Dial {
	timeouts := link.BodyTimeouts
	timeouts.Silent = silent
	d := link.Dialer(timeouts)
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil || p.opened == nil {
		return conn, err
	}
	return p.opened(conn), nil
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dial: dialer(link.SilentLimit), maxLinks: DefaultMaxLinks, maxHeaderBytes: DefaultMaxHeaderBytes,
		idle: idleLimit{most: DefaultIdleLimit}, progress: DefaultProgress, silent: link.SilentLimit,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Run closes links that exceed the idle limit and links in use that fall
// silent, until the context is done.
func (p *Pool) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	silentCheck := time.NewTicker(p.silent / silentChecksPerLimit)
	defer silentCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			p.Close()
			return
		case now := <-sweep.C:
			p.sweep(now)
		case <-silentCheck.C:
			p.CloseSilent()
		}
	}
}

// CloseSilent closes the links in use that exceed the silent limit and retires
// the other links to the same instance that are at least as old.
func (p *Pool) CloseSilent() {
	p.instances.Range(func(_, value any) bool {
		value.(*instanceLinks).closeSilent(p.silent)
		return true
	})
}

// Close closes all idle links.
func (p *Pool) Close() { p.sweep(time.Now().Add(p.idle.most + time.Hour)) }

func (p *Pool) sweep(now time.Time) {
	p.instances.Range(func(key, value any) bool {
		if value.(*instanceLinks).sweep(now, p.idle.most) {
			p.instances.Delete(key)
		}
		return true
	})
}

func (p *Pool) linksTo(address string) *instanceLinks {
	if existing, ok := p.instances.Load(address); ok {
		return existing.(*instanceLinks)
	}
	created, _ := p.instances.LoadOrStore(address, &instanceLinks{limit: p.maxLinks, inUse: map[*Link]struct{}{}})
	return created.(*instanceLinks)
}

// open returns an idle link that was used within maxIdle, or else a new one. It
// blocks while all links to the instance are in use and their limit is reached.
func (p *Pool) open(ctx context.Context, address string, maxIdle time.Duration) (*Link, *instanceLinks, error) {
	links := p.linksTo(address)
	for {
		now := time.Now()
		l, wait := links.get(now, maxIdle, p.idle.get(now))
		if l != nil {
			return l, links, nil
		}
		if wait == nil {
			break
		}
		select {
		case <-wait:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			links.cancelWait(wait)
			return nil, links, &Failure{cause: Full, err: errors.New("all links to the instance are in use"), address: address}
		}
	}
	if ctx.Err() != nil {
		links.remove(nil)
		return nil, links, &Failure{cause: Cancelled, err: ctx.Err(), address: address}
	}
	conn, err := p.connect(ctx, address)
	if err != nil {
		links.remove(nil)
		return nil, links, &Failure{cause: Unopened, err: err, address: address}
	}
	l := newLink(conn, p.progress, p.maxHeaderBytes)
	l.pace = p.pace
	links.add(l)
	return l, links, nil
}

// Reachable reports whether an instance can be reached: an idle link is still open, or a new
// one can be opened, which is kept.
func (p *Pool) Reachable(ctx context.Context, address string) bool {
	if _, open := p.OldestOpen(address); open {
		return true
	}
	l, links, err := p.open(ctx, address, 0)
	if err != nil {
		return false
	}
	links.giveBack(l)
	return true
}

// OldestOpen returns when the oldest idle link to an instance was opened that is still open.
func (p *Pool) OldestOpen(address string) (opened time.Time, open bool) {
	return p.linksTo(address).oldestOpen()
}

// CanConnect reports whether a new link to the instance can be opened.
func (p *Pool) CanConnect(ctx context.Context, address string) bool {
	conn, err := p.connect(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Links returns the number of links to an instance, those being opened
// included, and how many of them are idle.
func (p *Pool) Links(address string) (open, idle int) {
	links := p.linksTo(address)
	links.mu.Lock()
	defer links.mu.Unlock()
	return links.open, len(links.idle)
}
