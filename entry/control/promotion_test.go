package control_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

var errDial = errors.New("dial: i/o timeout")

// connections are the connections to a group of control hosts. A call that is
// cancelled closes its connection.
type connections struct {
	next http.RoundTripper

	mu      sync.Mutex
	idle    map[string]int
	blocked bool // no new connection can be opened
}

// dialTimeout is how long a blocked dial lasts.
const dialTimeout = 300 * time.Millisecond

func (c *connections) block() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
}

func (c *connections) take(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle[host] > 0 {
		c.idle[host]--
		return true
	}
	return !c.blocked
}

func (c *connections) RoundTrip(r *http.Request) (*http.Response, error) {
	if !c.take(r.URL.Host) {
		select {
		case <-time.After(dialTimeout):
		case <-r.Context().Done():
		}
		return nil, errDial
	}
	response, err := c.next.RoundTrip(r)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle[r.URL.Host]++
	}
	return response, err
}

// Guards against a host that closes its working connections to all control hosts,
// one after the other, because it makes each the primary and cannot open another
// connection: it then gets no version from any of them.
func TestVersionArrivesOnOpenConnectionsWhileNoneCanBeOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m fakeMembership
		conns := &connections{idle: map[string]int{}}
		g, table, stop := watchPrimaryOver(t, &m, func(next http.RoundTripper) http.RoundTripper {
			conns.next = next
			return conns
		})
		defer stop()
		time.Sleep(10 * time.Second)
		must.Eq(t, 1, table.Current().Number())
		conns.block()
		g["c1"].set(func() { g["c1"].hung = true })
		time.Sleep(2500 * time.Millisecond)
		for _, name := range []string{"c0", "c2"} {
			g[name].set(func() { g[name].version = 2 })
		}
		time.Sleep(applyBound)
		must.Eq(t, 2, table.Current().Number())
	})
}
