package caller_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"golang.org/x/sys/unix"
)

// way is a path by which the response of an instance gets to the caller.
type way string

const (
	direct  way = "direct"
	retried way = "retried"
	hedged  way = "hedged"
	relays  way = "relayed"
)

var ways = []way{direct, retried, hedged, relays}

// smallBufferBytes is the size of socket buffers that hold no upload of the tests, so that the
// write of it waits for the instance.
const smallBufferBytes = 4 << 10

// measuredRequests are answered at once, until the usual latency is known and hedges are sent.
const measuredRequests = 20

// measuredID is the ID of the first of them.
const measuredID = 100

// fault is a group of two instances whose responses are given by a script. Requests that the
// way of the response calls for before it are not counted by the script.
type fault struct {
	way      way
	on       atomic.Bool
	arrivals atomic.Int32
	header   string // lines of the responses before the script
	script   func(conn *net.TCPConn)
	both     bool // the script also serves the hedged request, after its hedge
	second   chan struct{}
	done     chan struct{}
}

// listenSmall listens with receive buffers of smallBufferBytes.
func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBufferBytes) })
		return err
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func (f *fault) serve(conn net.Conn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !f.on.Load() {
			_ = req.Body.Close()
			_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + f.header + "Request-Id: " + req.Header.Get("Request-Id") + "\r\nContent-Length: 0\r\n\r\n"))
			if err != nil {
				return
			}
			continue
		}
		first := f.arrivals.Add(1) == 1
		switch {
		case first && f.way == retried:
			return
		case first && f.way == hedged:
			select {
			case <-f.second:
			case <-f.done:
				return
			}
		}
		f.script(conn.(*net.TCPConn))
		if f.both && f.way == hedged && !first {
			f.second <- struct{}{}
		}
		return
	}
}

// start returns the address of the host that the caller uses. Its instances respond by the
// script by the given way, over links that dial opens.
func (f *fault) start(t *testing.T, dial upstream.Dial, opts ...option) string {
	t.Helper()
	f.done, f.second = make(chan struct{}), make(chan struct{}, 1)
	t.Cleanup(func() { close(f.done) })
	var instances []string
	for range 2 {
		listener := listenSmall(t)
		go serveScript(listener, f.serve)
		instances = append(instances, listener.Addr().String())
	}
	opts = append(opts, func(cfg *caller.Config) { cfg.Pool = upstream.NewPool(upstream.WithDial(dial)) })
	host := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), opts...))
	if f.way == relays {
		var cut atomic.Bool
		cut.Store(true)
		relay := &fakeRelay{hosts: []string{host}}
		relay.isolated.Store(true)
		host = serveEntry(t, newEntry(t, viewsOf(instances...), newClaims(), append(opts, func(cfg *caller.Config) {
			cfg.Pool, cfg.Relay = upstream.NewPool(upstream.WithDial(partitionedFrom(&cut, instances...))), relay
		})...))
	}
	if f.way == hedged {
		for n := range measuredRequests {
			must.Eq(t, http.StatusOK, call(t, http.MethodGet, host, f.path(), "", "Request-Id", strconv.Itoa(measuredID+n)).status)
		}
	}
	f.on.Store(true)
	return host
}

// path is that of a rule that allows the way.
func (f *fault) path() string {
	if f.way == hedged {
		return "/late/x"
	}
	return "/x"
}

// upload sends a request that the instances do not read.
func (f *fault) upload(t *testing.T, host string, size int) (reply, error) {
	t.Helper()
	f.arrivals.Store(0)
	return do(newRequest(t, http.MethodPut, host, f.path(), strings.Repeat("x", size)))
}

func smallDial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)
	}
	return conn, err
}

func withRelay(relay caller.Relay) option {
	return func(cfg *caller.Config) { cfg.Relay = relay }
}
