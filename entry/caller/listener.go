package caller

import (
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var connectionsRefused = metrics.GetOrCreateCounter("snipebeam_caller_links_refused_total")

// LimitListener returns a listener that accepts at most maxConns simultaneous
// connections, and at most maxPerAddress from one remote address; a connection
// over a limit is closed before anything is read. A limit of 0 means none.
func LimitListener(inner net.Listener, maxConns, maxPerAddress int) net.Listener {
	return &limitListener{Listener: inner, maxConns: maxConns, maxPerAddress: maxPerAddress, addresses: map[string]int{}}
}

type limitListener struct {
	net.Listener
	maxConns      int
	maxPerAddress int

	mu        sync.Mutex
	total     int
	addresses map[string]int // connections by remote address
}

// Accept returns the next connection within the limits.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address, _, splitErr := net.SplitHostPort(conn.RemoteAddr().String())
		if splitErr != nil {
			address = conn.RemoteAddr().String()
		}
		if l.acquire(address) {
			return &limitConn{Conn: conn, release: sync.OnceFunc(func() { l.release(address) })}, nil
		}
		connectionsRefused.Inc()
		_ = conn.Close()
	}
}

func (l *limitListener) acquire(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && l.total >= l.maxConns || l.maxPerAddress > 0 && l.addresses[address] >= l.maxPerAddress {
		return false
	}
	l.total++
	l.addresses[address]++
	return true
}

func (l *limitListener) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.addresses[address]--
	if l.addresses[address] == 0 {
		delete(l.addresses, address)
	}
}

type limitConn struct {
	net.Conn
	release func()
}

// NetConn returns the connection without the limit.
func (c *limitConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and releases its slot, once.
func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}
