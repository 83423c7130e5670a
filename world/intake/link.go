package intake

import (
	"net"
	"sync"
)

// linkBytes is what a link takes: its reader, its writer of 16 KiB and the connection.
const linkBytes = 24 << 10

// Link charges a connection that this process opened. It is never closed for others:
// clients' connections are.
func (b *Budget) Link(inner net.Conn) net.Conn {
	socket, ok := inner.(*net.TCPConn)
	if !ok {
		return inner
	}
	account := &Account{base: linkBytes, pinned: true}
	b.add(account)
	return &linkConn{TCPConn: socket, release: sync.OnceFunc(func() { b.remove(account) })}
}

// linkConn is the socket with a Close of its own, because users of links ask for
// properties of the socket.
type linkConn struct {
	*net.TCPConn
	release func()
}

// NetConn returns the connection without the budget.
func (c *linkConn) NetConn() net.Conn { return c.TCPConn }

// Close closes the connection and returns what it held.
func (c *linkConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}
