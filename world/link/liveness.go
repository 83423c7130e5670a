package link

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// reusabilityChecker is implemented by connections that are not sockets and
// check themselves.
type reusabilityChecker interface {
	Reusable() bool
}

// Reusable reports whether an idle link is still open and has no unread data.
// It peeks at the socket without blocking and consumes nothing. A connection
// that is not a socket counts as reusable.
func Reusable(conn net.Conn) bool {
	if checker, ok := conn.(reusabilityChecker); ok {
		return checker.Reusable()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = peekErr == unix.EAGAIN
	})
	return err == nil && reusable
}

// ClosedByPeer reports whether all data of a connection has been read and the peer has closed
// it. It peeks at the socket without blocking and consumes nothing. A connection that is not a
// socket counts as open.
func ClosedByPeer(conn net.Conn) bool {
	socket, ok := unwrap(conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = peekErr == nil && n == 0 || peekErr == unix.ECONNRESET
	})
	return closed
}

// SilentFor returns the time since the peer's last acknowledgement on a link, or
// 0 if the connection is not a socket or the kernel gives no value.
func SilentFor(conn net.Conn) time.Duration {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	silent := time.Duration(0)
	err = raw.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			silent = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return silent
}
