package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/operator"
	"github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/pause"
	"github.com/twitchtv/twirp"
)

const (
	// readHeaderTimeout limits how long a client may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// readTimeout limits how long a client of a listener may take to send a whole
	// request, which may be a large configuration.
	readTimeout   = 30 * time.Second
	noIdleTimeout = -1
	// closeTimeout is how long a server that stops may take for its last
	// responses. Connections that are open after it are closed.
	closeTimeout = 500 * time.Millisecond
	idlePoll     = 5 * time.Millisecond
	// maxMessageBytes bounds a message to this host, of which rules are the largest.
	maxMessageBytes = 16 << 20
	// maxReplicaBytes bounds a message of another replica, which may carry the whole state.
	maxReplicaBytes = 192 << 20
)

var errStopping = errors.New("this control host is stopping")

// servers creates the HTTP servers of a control host and ends their requests at a
// planned stop.
type servers struct {
	logger   hclog.Logger
	requests context.Context // of all requests; ends when they must end
	end      context.CancelCauseFunc
	stopping context.Context // ends when a planned stop starts
	begin    context.CancelFunc

	mu         sync.Mutex
	listeners  []*http.Server
	inProgress int
}

func newServers(logger hclog.Logger) *servers {
	s := &servers{logger: logger}
	s.requests, s.end = context.WithCancelCause(context.Background())
	s.stopping, s.begin = context.WithCancel(context.Background())
	return s
}

// server returns a server for requests that end with the others.
func (s *servers) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: s.bounded(handler), MaxHeaderBytes: link.MaxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return s.requests },
	}
}

// listener returns a server that a planned stop closes at its start.
func (s *servers) listener(handler http.Handler) *http.Server {
	server := s.server(s.tracked(handler))
	server.ReadTimeout, server.IdleTimeout = readTimeout, noIdleTimeout
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, server)
	return server
}

// bounded ends transfers of bodies with the request's context, which alone does
// not interrupt them.
func (s *servers) bounded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := http.NewResponseController(w)
		defer context.AfterFunc(s.requests, func() {
			_ = conn.SetReadDeadline(time.Now())
			_ = conn.SetWriteDeadline(time.Now().Add(closeTimeout))
		})()
		h.ServeHTTP(w, r)
	})
}

// tracked counts requests in progress, for which a planned stop waits.
func (s *servers) tracked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.count(1)
		defer s.count(-1)
		h.ServeHTTP(w, r)
	})
}

// calls tracks the calls of a Twirp service, and refuses new ones once a planned
// stop has started.
func (s *servers) calls(h http.Handler) http.Handler {
	refusal := twirp.NewError(twirp.Unavailable, errStopping.Error()).WithMeta(operator.MetaTaken, operator.TakenNo)
	return s.tracked(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Err() != nil {
			_ = twirp.WriteError(w, refusal)
			return
		}
		h.ServeHTTP(w, r)
	}))
}

// polls ends the context of a long poll when a planned stop starts.
func (s *servers) polls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(s.stopping, func() { cancel(errStopping) })()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *servers) count(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress += n
	return s.inProgress
}

// stop closes the listeners, waits for requests in progress until the context
// ends, and then ends them.
func (s *servers) stop(ctx context.Context) {
	s.begin()
	closing, closeAll := context.WithCancel(context.Background())
	defer closeAll()
	var group sync.WaitGroup
	for _, server := range s.listeners {
		group.Go(func() { _ = shutdown(closing, server) })
	}
	s.awaitIdle(ctx)
	if n := s.count(0); n > 0 {
		s.logger.Warn("requests ended by the stop", "requests", n)
	}
	s.end(errStopping)
	last, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.awaitIdle(last)
	defer time.AfterFunc(closeTimeout, closeAll).Stop()
	group.Wait()
}

func (s *servers) awaitIdle(ctx context.Context) {
	for s.count(0) > 0 && pause.For(ctx, idlePoll) {
		continue
	}
}

// shutdown shuts a server down and closes the connections that are left at the end
// of the context. One on which no request has come would hold it for seconds.
func shutdown(ctx context.Context, server *http.Server) error {
	if err := server.Shutdown(ctx); err == nil {
		return nil
	}
	return server.Close()
}

// shutdownSoon is shutdown within closeTimeout.
func shutdownSoon(ctx context.Context, server *http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	return shutdown(ctx, server)
}
