package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

var errPartitioned = errors.New("partitioned")

// partitionedFrom returns a dial function that reaches all addresses but the given ones
// while cut is set.
func partitionedFrom(cut *atomic.Bool, addresses ...string) upstream.Dial {
	var d net.Dialer
	return func(ctx context.Context, address string) (net.Conn, error) {
		if cut.Load() && slices.Contains(addresses, address) {
			return nil, errPartitioned
		}
		return d.DialContext(ctx, "tcp", address)
	}
}

// echo responds with the method and the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+string(body))
}

// Guards against callers that get nothing but failures from an entry host that is
// partitioned from all instances, while other hosts reach them.
func TestCallersOfAHostThatReachesNoInstanceAreServed(t *testing.T) {
	first, second := httpInstance(t, echo), httpInstance(t, echo)
	var cut atomic.Bool
	cut.Store(true)
	stranded := newEntry(t, viewsOf(first, second), newClaims(), func(cfg *caller.Config) {
		cfg.Pool = upstream.NewPool(upstream.WithDial(partitionedFrom(&cut, first, second)))
	})
	address := serveEntry(t, stranded)
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		path, body := "/x", strings.Repeat("x", 100)
		if method == http.MethodGet {
			body = ""
		}
		got := call(t, method, address, path, body)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(method))
		must.Eq(t, method+" "+body, got.body)
	}
}
