package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/world/link"
)

// HTTP bytes on the connections of the watch, without TCP and IP headers.
var (
	sentBytes     = metrics.NewCounter(`snipebeam_watch_sent_bytes_total`)
	receivedBytes = metrics.NewCounter(`snipebeam_watch_received_bytes_total`)
)

// TCP keep-alive probes detect a connection whose network path fails during a
// long poll, after about two seconds.
const (
	dialTimeout         = 300 * time.Millisecond // a host that is powered off does not refuse connections
	keepAliveIdle       = time.Second
	keepAliveInterval   = 500 * time.Millisecond
	keepAliveCount      = 2
	maxIdleConnsPerHost = 2
)

// NewTransport returns a transport for the watch that counts bytes and detects
// dead connections.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute, DisableCompression: true,
		MaxResponseHeaderBytes: link.MaxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
	}
}

// countingConn counts the bytes read and written.
type countingConn struct{ net.Conn }

// Read counts received bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	receivedBytes.Add(n)
	return n, err
}

// Write counts sent bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	sentBytes.Add(n)
	return n, err
}
