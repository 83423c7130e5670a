// Package link opens and accepts TCP connections whose silence is noticed
// within a bound. The kernel's keepalive asks for a sign of life while nothing
// else is sent, SilentFor tells how long ago the last one came, and
// TCP_USER_TIMEOUT is the bound where nobody looks.
//
// TCP_USER_TIMEOUT also ends a link whose peer is alive but takes no more
// bytes, so it is long on links that carry bodies and short between the
// system's own processes.
//
// Usage:
//
//	conn, err := link.Dialer(link.Body).DialContext(ctx, "tcp", address)
//	listener, err := link.Listen(ctx, "127.0.0.1:7200", link.Body)
//	client := &http.Client{Transport: link.Transport()}
package link

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// SilentLimit is how long a link may go without a sign of life.
const SilentLimit = 2 * time.Second

// Timeouts are those of one kind of link.
type Timeouts struct {
	Silent  time.Duration // without a sign of life
	Unacked time.Duration // with bytes that the peer does not take
}

// Kinds of links.
var (
	BodyTimeouts    = Timeouts{Silent: SilentLimit, Unacked: 30 * time.Second} // carries bodies of any size
	MessageTimeouts = Timeouts{Silent: SilentLimit, Unacked: SilentLimit}      // carries short messages
)

const (
	dialTimeout          = time.Second
	probesPerSilentLimit = 2 // keepalive probes in one silent limit
	idleLimit            = 30 * time.Second
	maxIdlePerHost       = 64
	keepaliveProbes      = 4
)

// Dialer returns a dialer of links with the bounds.
func Dialer(b Timeouts) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepaliveConfig(b.Silent), Control: setUserTimeout(b.Unacked)}
}

// Listen opens a listener whose links have the bounds.
func Listen(ctx context.Context, address string, b Timeouts) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: keepaliveConfig(b.Silent), Control: setUserTimeout(b.Unacked)}
	listener, err := cfg.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Transport returns an HTTP transport for calls between the system's own
// processes.
func Transport() *http.Transport {
	return &http.Transport{
		DialContext: Dialer(MessageTimeouts).DialContext, IdleConnTimeout: idleLimit, MaxIdleConnsPerHost: maxIdlePerHost,
	}
}

// keepaliveConfig asks for signs of life more often than the limit.
func keepaliveConfig(silent time.Duration) net.KeepAliveConfig {
	step := max(silent/probesPerSilentLimit, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: keepaliveProbes}
}

func setUserTimeout(unacked time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
