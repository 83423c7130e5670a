package link

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quieter is implemented by connections that are not sockets.
type quieter interface {
	Quiet() bool
}

// Quiet reports whether an idle link is still open and has nothing to read.
// It looks without waiting and takes nothing from the link.
func Quiet(conn net.Conn) bool {
	if q, ok := conn.(quieter); ok {
		return q.Quiet()
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
