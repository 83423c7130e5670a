package link

import "net"

// wrapper is implemented by connections that wrap another one.
type wrapper interface {
	NetConn() net.Conn
}

// Reset closes a connection so that the peer gets an error where it would
// otherwise read the end of the stream.
func Reset(conn net.Conn) {
	inner := conn
	for w, ok := inner.(wrapper); ok; w, ok = inner.(wrapper) {
		inner = w.NetConn()
	}
	if socket, ok := inner.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}
