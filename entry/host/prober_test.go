package host

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/isolation"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// probed probes an instance whose response starts and then repeats a piece, a
// thousand times a second. It returns the report and how many bytes of pieces
// were read.
func probed(t *testing.T, start, piece string) (report route.ProbeReport, taken int64) {
	ended, bytes := make(chan struct{}), atomic.Int64{}
	pool := upstream.NewPool(upstream.WithDial(func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer close(ended)
			defer func() { _ = theirs.Close() }()
			_, _ = http.ReadRequest(bufio.NewReader(theirs))
			_, err := io.WriteString(theirs, start)
			for err == nil && piece != "" {
				time.Sleep(time.Millisecond)
				var n int
				n, err = io.WriteString(theirs, piece)
				bytes.Add(int64(n))
			}
		}()
		return ours, nil
	}))
	report = shopProber(t, pool, options{}).probe(route.NewMember(instance.New("i", "shop", "i:1"), &route.Load{}))
	pool.Close()
	<-ended
	open, _ := pool.Links("i:1")
	must.Zero(t, open)
	return report, bytes.Load()
}

// shopProber returns a prober of the service shop.
func shopProber(t *testing.T, pool *upstream.Pool, o options) *prober {
	table := rules.NewTable()
	_, err := table.Advance(&wire.Version{Number: 1}, "service shop: health /healthz # w: y\nroute shop # w: y")
	must.NoError(t, err)
	return newProber(table, pool, o, isolation.New(pool.CanConnect, &route.Views{}), hclog.NewNullLogger())
}

func TestProbeOfEndlessBytesFailsInTime(t *testing.T) {
	piece := strings.Repeat("a", 1000)
	tests := map[string]struct{ start, piece string }{
		"header line":    {"HTTP/1.1 200 OK\r\nA: ", piece},
		"interim":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no status":      {"", piece},
		"length":         {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", piece},
		"chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + piece + "\r\n"},
		"until closed":   {"HTTP/1.1 200 OK\r\n\r\n", piece},
		"trickled line":  {"HTTP/1.1 200 OK\r\nA: ", "a"},
		"trickled body":  {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "a"},
		"trickled chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				report, taken := probed(t, test.start, test.piece)
				must.False(t, report.Answered)
				must.LessEq(t, probeTimeout+time.Millisecond, time.Since(started))
				must.LessEq(t, 50_000, taken)
			})
		})
	}
}

func TestProbeWithALongBodyIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report, _ := probed(t, "HTTP/1.1 200 OK\r\nContent-Length: 16384\r\n\r\n"+strings.Repeat("a", 16384), "")
		must.True(t, report.Answered)
		must.True(t, report.Healthy)
	})
}

// Guards against load, health and warm-up that are taken from a response of another instance at the
// address, or from a late response to a request on the same link.
func TestProbeTakesNothingFromTheResponseOfAnotherInstance(t *testing.T) {
	dialect := &caller.Dialect{InstanceID: "Sender", Warmup: "Warmup", Load: func(h http.Header) (caller.LoadReport, bool) {
		return caller.LoadReport{Requests: len(h.Get("Load"))}, h.Get("Load") != ""
	}}
	responses := map[string]string{
		"own":           "Sender: i\r\n",
		"other":         "Sender: j\r\n",
		"to a request":  "Request-Id: 7\r\n",
		"empty":         "Sender:\r\n",
		"own and other": "Sender: i\r\nSender: j\r\n",
	}
	for name, header := range responses {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/used link %t", name, used), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const statement = "Load: 1\r\nWarmup: 900\r\nContent-Length: 0\r\n\r\n"
					pool := upstream.NewPool(upstream.WithDial(func(context.Context, string) (net.Conn, error) {
						ours, theirs := net.Pipe()
						go func() {
							defer func() { _ = theirs.Close() }()
							for r, first := bufio.NewReader(theirs), used; ; first = false {
								if _, err := http.ReadRequest(r); err != nil {
									return
								}
								if first {
									_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\nSender: i\r\n"+statement)
									continue
								}
								_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\n"+header+statement)
							}
						}()
						return ours, nil
					}))
					defer pool.Close()
					p := shopProber(t, pool, options{dialect: dialect})
					member := route.NewMember(instance.New("i", "shop", "i:1"), &route.Load{})
					if used {
						must.True(t, p.probe(member).HasLoad)
					}
					want := route.ProbeReport{}
					if name == "own" {
						want = route.ProbeReport{Answered: true, Healthy: true, HasLoad: true, Requests: 1, Warmup: route.NewWarmup(900 * time.Millisecond)}
					}
					must.EqOp(t, want, p.probe(member))
					open, _ := pool.Links("i:1")
					must.Eq(t, name == "own", open == 1)
				})
			})
		}
	}
}
