package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Bytes of HTTP on the links of the watch, without TCP and IP headers.
var (
	sentBytes     = metrics.NewCounter(`snipebeam_watch_sent_bytes_total`)
	receivedBytes = metrics.NewCounter(`snipebeam_watch_received_bytes_total`)
)

// A link that lost its path while a long poll waits is noticed by the probes
// of TCP, after about two seconds.
const (
	dialLimit     = 300 * time.Millisecond // a host without power does not refuse
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	idleLinks     = 2
)

// NewTransport returns a transport for the watch, which counts its bytes and
// notices silent links.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialLimit, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return &http.Transport{
		MaxIdleConnsPerHost: idleLinks, IdleConnTimeout: time.Minute, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
	}
}

// countedConn counts what passes.
type countedConn struct{ net.Conn }

// Read counts received bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	receivedBytes.Add(n)
	return n, err
}

// Write counts sent bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	sentBytes.Add(n)
	return n, err
}
