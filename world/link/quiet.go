package link

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// reusabilityChecker is implemented by connections that are not sockets.
type reusabilityChecker interface {
	Reusable() bool
}

// Reusable reports whether an idle link is still open and has nothing to read.
// It looks without waiting and takes nothing from the link.
func Reusable(conn net.Conn) bool {
	if q, ok := conn.(reusabilityChecker); ok {
		return q.Reusable()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
	})
	return err == nil && quiet
}

// SilentFor returns how long ago the last sign of life came over a link, 0
// if that is not known.
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
