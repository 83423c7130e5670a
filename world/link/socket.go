// Package link opens and accepts TCP connections that notice a silent peer
// within a bound: the kernel's keepalive watches a link that waits, and
// TCP_USER_TIMEOUT one with bytes that were never acknowledged.
//
// Usage:
//
//	conn, err := link.Dialer(link.SilentLimit).DialContext(ctx, "tcp", address)
//	listener, err := link.Listen(ctx, "127.0.0.1:7200", link.SilentLimit)
//	client := &http.Client{Transport: link.Transport(link.SilentLimit)}
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

// SilentLimit is how long bytes may stay unacknowledged on a link.
const SilentLimit = 2 * time.Second

const (
	dialTimeout     = time.Second
	keepaliveShare  = 4 // keepalive probes in one silent limit
	idleLimit       = 30 * time.Second
	maxIdlePerHost  = 64
	keepaliveProbes = 4
)

// Dialer returns a dialer whose links notice silence within the limit.
func Dialer(silent time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepalive(silent), Control: control(silent)}
}

// Listen opens a listener whose links notice silence within the limit.
func Listen(ctx context.Context, address string, silent time.Duration) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: keepalive(silent), Control: control(silent)}
	listener, err := cfg.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Transport returns an HTTP transport for calls between the system's own
// processes.
func Transport(silent time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: Dialer(silent).DialContext, IdleConnTimeout: idleLimit, MaxIdleConnsPerHost: maxIdlePerHost,
	}
}

// keepalive sends its first probe after a part of the limit, so that a link
// that only waits is given up soon after the limit.
func keepalive(silent time.Duration) net.KeepAliveConfig {
	step := max(silent/keepaliveShare, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: keepaliveProbes}
}

func control(silent time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
