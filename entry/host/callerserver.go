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

// stop closes the connections on which no request has been read, and waits for
// responses to be sent on the others. After half of the time that the context
// leaves it closes those too, unless there are requests in flight: callers that go
// on sending a body keep their connections open after the response.
func (s *callerServer) stop(ctx context.Context, inFlight func() int) error {
	s.closeUnused()
	for {
		err := ignoreClosed(s.shutdown(ctx))
		if err == nil || ctx.Err() != nil {
			return err
		}
		if inFlight() == 0 {
			return errors.Wrap(ignoreClosed(s.Close()), "close connections")
		}
	}
}

// shutdown shuts the server down within half of the time that the context leaves.
func (s *callerServer) shutdown(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		return s.Shutdown(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(end)/2)
	defer cancel()
	return s.Shutdown(ctx)
}

// ignoreClosed drops the error of closing the listener, which is closed before.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *callerServer) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for conn := range s.unused {
		_ = conn.Close()
	}
}
