package link

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// WithConns makes the requests of a server know their connection.
func WithConns(server *http.Server) {
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// ConnOf returns the connection of a request to a server with WithConns, else nil.
func ConnOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}
