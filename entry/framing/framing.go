// Package framing rejects HTTP/1.1 requests with ambiguous framing: with both
// Content-Length and Transfer-Encoding, with either of them repeated, with lines
// that end in a bare line feed or contain a bare carriage return, or with folded
// header lines. The HTTP library accepts some of these; a proxy or server in
// front of or behind this host might parse them differently (request smuggling,
// RFC 9112, section 11.2).
//
// Usage:
//
//	listener = framing.Protect(server, listener)
//	server.Serve(listener)
package framing

import (
	"context"
	"net"
	"net/http"

	"github.com/snipebeam/snipebeam/world/outcome"
)

// Protect makes a server reject ambiguous requests, and returns the listener
// that the server must use.
func Protect(server *http.Server, listener net.Listener) net.Listener {
	server.Handler = guard(server.Handler)
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	return &scanningListener{Listener: listener}
}

type connKey struct{}

// guard rejects requests on a connection that carried an ambiguous one.
func guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scanned, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if fault := scanned.fault(); fault != "" {
			w.Header().Set("Connection", "close")
			outcome.New(outcome.NotRun, outcome.Malformed, fault).Write(w, "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

type scanningListener struct{ net.Listener }

// Accept returns a connection whose bytes are scanned.
func (l *scanningListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}
