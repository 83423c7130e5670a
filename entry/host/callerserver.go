package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// callerServer is the HTTP server of callers. Unlike http.Server.Shutdown, it can
// stop accepting connections and still answer requests on those that are open.
type callerServer struct {
	*http.Server
	listener net.Listener

	mu       sync.Mutex
	stopping bool                  // unused connections are closed
	unused   map[net.Conn]struct{} // no request has been read on them
}

func newCallerServer(server *http.Server) *callerServer {
	s := &callerServer{Server: server, unused: map[net.Conn]struct{}{}}
	server.ConnState = s.track
	return s
}

func (s *callerServer) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(s.unused, conn)
	case s.stopping:
		_ = conn.Close()
	default:
		s.unused[conn] = struct{}{}
	}
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
// responses to be sent on the others. After half of the time that the context
// leaves it closes those too: callers that go on sending a body keep their
// connections open after the response.
func (s *callerServer) Shutdown(ctx context.Context) error {
	s.closeUnused()
	waiting := ctx
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		waiting, cancel = context.WithTimeout(ctx, time.Until(end)/2)
		defer cancel()
	}
	err := s.Server.Shutdown(waiting)
	if ctx.Err() == nil && waiting.Err() != nil {
		err = s.Close()
	}
	if errors.Is(err, net.ErrClosed) {
		return nil // the listener was closed before
	}
	return errors.Wrap(err, "close connections")
}

func (s *callerServer) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for conn := range s.unused {
		_ = conn.Close()
	}
}
