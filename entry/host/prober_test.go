package host

import (
	"bufio"
	"context"
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
	table := rules.NewTable()
	_, err := table.Advance(&wire.Version{Number: 1}, "service shop: health /healthz # w: y\nroute shop # w: y")
	must.NoError(t, err)
	p := newProber(table, pool, options{}, isolation.New(pool.CanConnect, &route.Views{}), hclog.NewNullLogger())
	report = p.probe(route.NewMember(instance.New("i", "shop", "i:1"), &route.Load{}))
	pool.Close()
	<-ended
	open, _ := pool.Links("i:1")
	must.Zero(t, open)
	return report, bytes.Load()
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
