package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/pause"
)

// maxEndlessBytes is half of the memory of the smallest host.
const maxEndlessBytes = 100 << 20

// serveEndless sends bytes without end, as the path of the request says, until the link closes.
func serveEndless(t *testing.T) func(conn net.Conn, r *bufio.Reader) {
	var shortLines strings.Builder
	for n := range 1 << 14 {
		_, _ = fmt.Fprintf(&shortLines, "%x:\r\n", n)
	}
	lines, zeros := []byte(shortLines.String()), make([]byte, 64<<10)
	write := func(conn net.Conn, begin string, piece []byte, wait time.Duration) {
		if _, err := io.WriteString(conn, begin); err != nil {
			return
		}
		for n := 0; ; n++ {
			if _, err := conn.Write(piece); err != nil {
				return
			}
			if wait > 0 && !pause.For(t.Context(), wait) {
				return
			}
		}
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	return func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			kind := strings.Split(req.URL.Path, "/")[2]
			switch kind {
			case "line":
				write(conn, ok+"X: ", zeros, 0)
			case "lines":
				write(conn, ok, lines, 0)
			case "slow-lines":
				write(conn, ok, lines[:600], 50*time.Millisecond)
			case "interim":
				write(conn, "", []byte("HTTP/1.1 103 Early Hints\r\n\r\n"), 0)
			case "body":
				write(conn, ok+"Transfer-Encoding: chunked\r\n\r\n", []byte("8000\r\n"+string(zeros[:0x8000])+"\r\n"), 0)
			case "slow-body":
				write(conn, ok+"Content-Length: 100000000000\r\n\r\n", zeros[:1000], 50*time.Millisecond)
			case "chunk":
				write(conn, ok+"Transfer-Encoding: chunked\r\n\r\n1;", zeros, 0)
			case "trailer":
				write(conn, ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", lines, 0)
			case "bytes":
				write(conn, "", zeros, 0)
			default:
				_, _ = io.WriteString(conn, ok+"Content-Length: 0\r\n\r\n")
				continue
			}
			return
		}
	}
}

// Many instances that sent bytes without end at the same time filled the memory of the host that had
// called them, and the requests of other callers ended with it.
func TestManyEndlessResponsesLeaveMemoryAndOtherRequestsAlone(t *testing.T) {
	var instances []string
	for range 60 {
		instances = append(instances, rawInstance(t, serveEndless(t)))
	}
	entry := serveEntry(t, newEntry(t, viewsOf(instances...), newClaims()))
	var done atomic.Bool
	var most atomic.Uint64
	var samples, calls sync.WaitGroup
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	samples.Go(func() {
		for !done.Load() {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			most.Store(max(most.Load(), now.HeapAlloc))
			pause.For(t.Context(), 20*time.Millisecond)
		}
	})
	for _, kind := range []string{"line", "lines", "slow-lines", "interim", "body", "slow-body", "chunk", "trailer", "bytes"} {
		for n := range 12 {
			calls.Go(func() {
				response, err := client.Do(newRequest(t, http.MethodPost, entry, fmt.Sprint("/x/", kind, "/", n), "", "Snipebeam-Deadline-Ms", "2000"))
				if err != nil {
					return
				}
				defer func() { _ = response.Body.Close() }()
				if n%2 == 0 { // the others do not read on
					_, _ = io.Copy(io.Discard, response.Body)
				} else {
					pause.For(t.Context(), 2*time.Second)
				}
			})
		}
	}
	for n := range 40 {
		pause.For(t.Context(), 50*time.Millisecond)
		must.Eq(t, http.StatusOK, call(t, http.MethodGet, entry, fmt.Sprint("/x/lookup/", n), "").status)
	}
	calls.Wait()
	done.Store(true)
	samples.Wait()
	must.Less(t, maxEndlessBytes, int64(most.Load())-int64(before.HeapAlloc))
}
