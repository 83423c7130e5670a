package host

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// callerServer is the HTTP server of callers. Unlike http.Server.Shutdown, it can
// stop accepting connections and still answer requests on those that are open.
type callerServer struct {
	*http.Server
	listener net.Listener

	mu     sync.Mutex
	unused map[net.Conn]struct{} // no request has been read on them
}

func newCallerServer(server *http.Server) *callerServer {
	s := &callerServer{Server: server, unused: map[net.Conn]struct{}{}}
	server.ConnState = s.track
	return s
}

func (s *callerServer) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[conn] = struct{}{}
		return
	}
	delete(s.unused, conn)
}

func (s *callerServer) start(listener net.Listener, logger hclog.Logger) {
	s.listener = listener
	serve(s.Server, listener, "callers", logger)
}

// closeListener stops accepting connections, and closes those that are idle.
func (s *callerServer) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close() // an error means that it is closed
	}
	s.SetKeepAlivesEnabled(false)
}

// Shutdown closes the connections on which no request has been read, and waits for
// responses to be sent on the others.
func (s *callerServer) Shutdown(ctx context.Context) error {
	s.closeUnused()
	return s.Server.Shutdown(ctx)
}

func (s *callerServer) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.unused {
		_ = conn.Close()
	}
}
