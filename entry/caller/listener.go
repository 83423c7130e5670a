package caller

import (
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

var linksRefused = metrics.GetOrCreateCounter("snipebeam_caller_links_refused_total")

// LimitListener returns a listener that holds at most so many links, and so many of
// one caller's address; a link beyond is closed before anything is read.
// A bound of 0 is none.
func LimitListener(inner net.Listener, most, perCaller int) net.Listener {
	return &boundListener{Listener: inner, most: most, perCaller: perCaller, callers: map[string]int{}}
}

type boundListener struct {
	net.Listener
	most      int
	perCaller int

	mu      sync.Mutex
	total   int
	callers map[string]int
}

// Accept returns the next link within the bounds.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, splitErr := net.SplitHostPort(conn.RemoteAddr().String())
		if splitErr != nil {
			host = conn.RemoteAddr().String()
		}
		if l.enter(host) {
			return &boundConn{Conn: conn, leave: sync.OnceFunc(func() { l.leave(host) })}, nil
		}
		linksRefused.Inc()
		_ = conn.Close()
	}
}

func (l *boundListener) enter(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.most > 0 && l.total >= l.most || l.perCaller > 0 && l.callers[host] >= l.perCaller {
		return false
	}
	l.total++
	l.callers[host]++
	return true
}

func (l *boundListener) leave(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.callers[host]--
	if l.callers[host] == 0 {
		delete(l.callers, host)
	}
}

type boundConn struct {
	net.Conn
	leave func()
}

// Close closes the link and makes room for another.
func (c *boundConn) Close() error {
	c.leave()
	return c.Conn.Close()
}
