package call

import (
	"context"
	"net"
	"sync"
)

// network connects clients to listeners in memory.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	open []net.Conn
}

func newNetwork() *network { return &network{listeners: map[string]*listener{}} }

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open = append(l.open, conn)
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder.
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

// kill closes the listener and all connections that it accepted.
func (l *listener) kill() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		_ = conn.Close()
	}
}

func (n *network) listen(address string) *listener {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
