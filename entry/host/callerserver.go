package host

import (
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
)

// callerServer is the HTTP server of callers. Unlike http.Server.Shutdown, it can
// stop accepting connections and still answer requests on those that are open.
type callerServer struct {
	*http.Server
	listener net.Listener
}

func newCallerServer(server *http.Server) *callerServer { return &callerServer{Server: server} }

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
