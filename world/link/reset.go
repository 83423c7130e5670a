package link

import "net"

// wrapper is implemented by connections that wrap another one.
type wrapper interface {
	NetConn() net.Conn
}

// Reset closes a connection so that the peer gets an error where it would
// otherwise read the end of the stream.
func Reset(conn net.Conn) {
	if socket, ok := unwrap(conn).(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

func unwrap(conn net.Conn) net.Conn {
	for w, ok := conn.(wrapper); ok; w, ok = conn.(wrapper) {
		conn = w.NetConn()
	}
	return conn
}
