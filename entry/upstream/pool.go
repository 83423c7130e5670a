// Package upstream speaks HTTP/1.1 to instances over links that this host
// owns, so that it knows whether a byte of a request was written and whether a
// link may be used again.
//
// A link is used again only if the whole request was sent, the whole answer
// was read, and nothing has come since. Links that were idle for long are
// closed, and a link that went silent takes with it all links to the same
// instance that are at least as old.
//
// Usage:
//
//	pool := upstream.NewPool(upstream.WithMaxLinks(16))
//	go pool.Run(ctx)
//	exchange, err := pool.Send(ctx, address, request)
//	io.Copy(w, exchange.Body())
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
	// DefaultMaxLinks keeps 29 hosts under the 500 connections of an instance.
	DefaultMaxLinks  = 16
	DefaultIdleLimit = 20 * time.Second
	DefaultProgress  = 30 * time.Second
)

const (
	sweepInterval = time.Second
	// silentShare is how often links in use are looked at in one silent limit.
	silentShare = 8
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps the links to all instances.
type Pool struct {
	dial      Dial
	maxLinks  int
	idleLimit time.Duration
	progress  time.Duration
	silent    time.Duration
	instances sync.Map // address to *links
}

// Option changes one property of a pool.
type Option func(*Pool)

// WithDial sets how links are opened.
func WithDial(dial Dial) Option { return func(p *Pool) { p.dial = dial } }

// WithMaxLinks bounds the links to one instance.
func WithMaxLinks(n int) Option { return func(p *Pool) { p.maxLinks = n } }

// WithIdleLimit bounds the time that a link is kept without a request.
func WithIdleLimit(d time.Duration) Option { return func(p *Pool) { p.idleLimit = d } }

// WithProgress bounds the time that a body may stand still on a link.
func WithProgress(d time.Duration) Option { return func(p *Pool) { p.progress = d } }

// WithSilentLimit bounds the time without a sign of life on a link in use.
func WithSilentLimit(d time.Duration) Option {
	return func(p *Pool) {
		p.silent = d
		p.dial = dialer(d)
	}
}

func dialer(silent time.Duration) Dial {
	bounds := link.Body
	bounds.Silent = silent
	d := link.Dialer(bounds)
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dial: dialer(link.SilentLimit), maxLinks: DefaultMaxLinks,
		idleLimit: DefaultIdleLimit, progress: DefaultProgress, silent: link.SilentLimit,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Run closes links that were idle too long and links in use that went silent,
// until the context ends.
func (p *Pool) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	look := time.NewTicker(p.silent / silentShare)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			p.Close()
			return
		case now := <-sweep.C:
			p.sweep(now)
		case <-look.C:
			p.CloseSilent()
		}
	}
}

// CloseSilent closes links in use that gave no sign of life for too long.
func (p *Pool) CloseSilent() {
	p.instances.Range(func(_, value any) bool {
		value.(*links).closeSilent(p.silent)
		return true
	})
}

// Close closes all idle links.
func (p *Pool) Close() { p.sweep(time.Now().Add(p.idleLimit + time.Hour)) }

func (p *Pool) sweep(now time.Time) {
	p.instances.Range(func(key, value any) bool {
		if value.(*links).sweep(now, p.idleLimit) {
			p.instances.Delete(key)
		}
		return true
	})
}

func (p *Pool) of(address string) *links {
	if all, ok := p.instances.Load(address); ok {
		return all.(*links)
	}
	all, _ := p.instances.LoadOrStore(address, &links{limit: p.maxLinks, inUse: map[*Link]struct{}{}})
	return all.(*links)
}

// open returns a link: an idle one that was used within maxIdle, else a new
// one. It waits while the instance has as many links as it may.
func (p *Pool) open(ctx context.Context, address string, maxIdle time.Duration) (*Link, *links, error) {
	all := p.of(address)
	for {
		l, wait := all.take(time.Now(), min(maxIdle, p.idleLimit))
		if l != nil {
			return l, all, nil
		}
		if wait == nil {
			break
		}
		select {
		case <-wait:
		case <-ctx.Done():
			all.leave(wait)
			return nil, all, &Failure{cause: Full, err: errors.New("all links to the instance are in use"), address: address}
		}
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		all.drop(nil)
		return nil, all, &Failure{cause: Unopened, err: err, address: address}
	}
	l := newLink(conn, p.progress)
	all.use(l)
	return l, all, nil
}

// Reachable reports whether an instance is there: an idle link is still open,
// or, if none was kept, a new one can be opened.
func (p *Pool) Reachable(ctx context.Context, address string) bool {
	all := p.of(address)
	if kept, quiet := all.survivors(); kept > 0 {
		return quiet > 0
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// CanConnect reports whether a new link to the instance can be opened.
func (p *Pool) CanConnect(ctx context.Context, address string) bool {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Links returns the number of open links to an instance and how many of them
// are idle.
func (p *Pool) Links(address string) (open, idle int) {
	all := p.of(address)
	all.mu.Lock()
	defer all.mu.Unlock()
	return all.open, len(all.idle)
}
