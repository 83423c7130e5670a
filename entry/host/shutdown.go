package host

import (
	"context"
	"net/http"
	"time"
)

// closeTimeout is how long a listener other than that of callers may take for its
// last responses at a stop.
const closeTimeout = 500 * time.Millisecond

// shutdown returns a hook that shuts a server down and, after closeTimeout, closes
// the connections that are left. One on which no request has come, or whose client
// does not finish its request, would hold the stop.
func shutdown(server *http.Server) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err == nil {
			return nil
		}
		return server.Close()
	}
}
