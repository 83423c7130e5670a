package peer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	peerlink "github.com/snipebeam/snipebeam/world/link"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, in milliseconds.
const tcpUserTimeout = 18

// Guards against a forwarded command that the kernel still delivers when a partition heals, long
// after its sender gave it up.
func TestKernelGivesUpCallsThatAreNotAcknowledged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := newCallTransport().DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	var ms int
	must.NoError(t, raw.Control(func(fd uintptr) { ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }))
	must.NoError(t, err)
	must.Eq(t, peerlink.SilentLimit, time.Duration(ms)*time.Millisecond)
}
