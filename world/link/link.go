// Package link opens and accepts persistent TCP connections, called links, on
// which an unresponsive peer is detected within a bounded time. The kernel sends
// keepalive probes while a link is idle, SilentFor returns the time since the
// peer's last acknowledgement, and TCP_USER_TIMEOUT closes links whose owner
// does not check SilentFor.
//
// TCP_USER_TIMEOUT also closes a link whose peer is alive but has stopped
// reading, so it is long on links that carry bodies and short between the
// system's processes.
//
// Usage:
//
//	conn, err := link.Dialer(link.BodyTimeouts).DialContext(ctx, "tcp", address)
//	listener, err := link.Listen(ctx, "127.0.0.1:7200", link.BodyTimeouts)
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

// SilentLimit is how long a peer may stay silent, that is, send no data,
// acknowledgement or response to a keepalive probe.
const SilentLimit = 2 * time.Second

// Timeouts bound how long one kind of link waits for its peer.
type Timeouts struct {
	Silent  time.Duration // without any packet from the peer
	Unacked time.Duration // with sent data that the peer does not acknowledge
}

// Timeouts by the kind of traffic on a link.
var (
	BodyTimeouts    = Timeouts{Silent: SilentLimit, Unacked: 30 * time.Second} // bodies of any size
	MessageTimeouts = Timeouts{Silent: SilentLimit, Unacked: SilentLimit}      // short messages
)

const (
	dialTimeout          = time.Second
	probesPerSilentLimit = 2 // keepalive probes sent within one silent limit
	idleLimit            = 30 * time.Second
	maxIdlePerHost       = 64
	keepaliveProbes      = 4
)

// Dialer returns a dialer that opens links with the timeouts.
func Dialer(t Timeouts) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepaliveConfig(t.Silent), Control: setUserTimeout(t.Unacked)}
}

// Listen opens a listener whose accepted links have the timeouts.
func Listen(ctx context.Context, address string, t Timeouts) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: keepaliveConfig(t.Silent), Control: setUserTimeout(t.Unacked)}
	listener, err := cfg.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Transport returns an HTTP transport for calls between the system's processes.
func Transport() *http.Transport {
	return &http.Transport{
		DialContext: Dialer(MessageTimeouts).DialContext, IdleConnTimeout: idleLimit, MaxIdleConnsPerHost: maxIdlePerHost,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}

// keepaliveConfig sends several probes per silent limit, but at most one a
// second, the resolution of the socket option.
func keepaliveConfig(silent time.Duration) net.KeepAliveConfig {
	interval := max(silent/probesPerSilentLimit, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepaliveProbes}
}

// setUserTimeout returns a control function that sets TCP_USER_TIMEOUT.
func setUserTimeout(unacked time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
