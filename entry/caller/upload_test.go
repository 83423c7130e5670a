package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// resetConn is a connection that its peer has reset.
type resetConn struct{ net.Conn }

func (resetConn) Read([]byte) (int, error)  { return 0, syscall.ECONNRESET }
func (resetConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// resetsFirst is a pool whose first connection is reset.
func resetsFirst(n *network) option {
	return func(cfg *caller.Config) {
		first := true
		cfg.Pool = upstream.NewPool(upstream.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := n.dial(ctx, address)
			if err == nil && first {
				first = false
				return resetConn{conn}, nil
			}
			return conn, err
		}))
	}
}

func TestUploadIsNotCalledIncompleteAfterAResetConnection(t *testing.T) {
	for range 200 { // the reset may come before or after the first read of the body
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			instance := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				_, _ = w.Write(data)
			})
			n.serve(t, "i:1", instance)
			n.serve(t, "i:2", instance)
			e := newEntry(t, viewsOf("i:1", "i:2"), newClaims(), resetsFirst(n))
			t.Cleanup(e.pool.Close)
			n.serve(t, "e:1", e.handler)
			response, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", "/photos/1", strings.Repeat("a", 100_000)))
			must.NoError(t, err)
			data, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			if response.StatusCode == http.StatusOK {
				must.Eq(t, 100_000, len(data))
				return
			}
			must.Eq(t, string(outcome.UpstreamLost), response.Header.Get(outcome.ReasonHeader))
		})
	}
}
