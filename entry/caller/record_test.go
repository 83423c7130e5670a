package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// countedBudget allows a number of repeats.
type countedBudget struct{ left, charged int }

func (b *countedBudget) AllowRetry(context.Context, string) route.Charge {
	if b.left == 0 {
		return ""
	}
	b.left--
	b.charged++
	return "granted"
}

func (b *countedBudget) AllowHedge(ctx context.Context, service string) route.Charge {
	return b.AllowRetry(ctx, service)
}

// The course of a request in the record of BUDGET: an instance closes the idle connection, gets
// the request again on another one as there is no other instance, and is late, so that the request
// is hedged. Each arrival beyond the first is charged.
func TestArrivalsAfterAClosedConnectionAndBeforeAHedgeAreCharged(t *testing.T) {
	for allowed, arrivals := range []int{1, 2, 3, 3} {
		synctest.Test(t, func(t *testing.T) {
			n, views := newNetwork(), viewsOf("i:1")
			var received, connections atomic.Int32
			both := []route.Member{
				route.NewMember(instance.New("i:1", "shop", "i:1"), &route.Load{}), route.NewMember(instance.New("i:2", "shop", "i:2"), &route.Load{}),
			}
			n.serveRaw(t, "i:1", func(conn net.Conn, r *bufio.Reader) {
				late := connections.Add(1) > 1
				for answered := 0; ; answered++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.URL.Path == "/late/first" {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					received.Add(1)
					if !late {
						return
					}
					views.Store(map[string]*route.View{"shop": route.NewView("shop", both)})
					time.Sleep(time.Second)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			n.serveRaw(t, "i:2", func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				received.Add(1)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			})
			budget := &countedBudget{left: allowed}
			entry := newEntry(t, views, newClaims(), n.pool(t), func(cfg *caller.Config) {
				cfg.Budget = budget
				_, err := cfg.Table.Advance(&wire.Version{Number: 2}, "route shop GET /late/**: deadline 5s, aim 600ms, retries 2, attempts 3, hedge # Marie: as on the site\n")
				must.NoError(t, err)
				cfg.Table.Confirm(2, time.Now())
			})
			n.serve(t, "e:1", entry.handler)
			must.Eq(t, http.StatusOK, n.call(t, newRequest(t, http.MethodGet, "e:1", "/late/first", "")).status)
			n.call(t, newRequest(t, http.MethodGet, "e:1", "/late/x", ""))
			time.Sleep(2 * time.Second) // until i:1 has ended
			must.Eq(t, arrivals, int(received.Load()), must.Sprintf("%d repeats allowed", allowed))
			must.Eq(t, arrivals-1, budget.charged)
		})
	}
}
