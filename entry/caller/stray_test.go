package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// identified is a dialect in which responses repeat the ID of their request.
func identified(cfg *caller.Config) {
	cfg.Dialect = &caller.Dialect{
		Service: caller.ServiceHeader, RequestID: "Request-Id", CloseDelimited: true, Leaving: caller.LeavingHeader, RateLimit: caller.RateLimitHeader,
		Refused: func(_ int, h http.Header) bool { return h.Get(caller.RefusedHeader) != "" },
		Load:    func(http.Header) (caller.LoadReport, bool) { return caller.LoadReport{}, false },
		WriteProblem: func(w http.ResponseWriter, response caller.ErrorResponse) {
			w.Header().Set("Request-Id", response.ID)
			w.Header().Set(outcome.Header, string(response.Problem.Kind()))
			w.WriteHeader(response.Problem.Status())
		},
	}
}

// Guards against an earlier refusal that an instance writes once more on a kept connection:
// it says nothing of the request that the instance runs now.
func TestRefusalOfAnEarlierRequestIsNotTakenForThatOfTheNext(t *testing.T) {
	for name, again := range map[string]string{
		"with its ID":           "Request-Id: 1\r\n",
		"without an ID":         "",
		"with an ID used twice": "Request-Id: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(2 * time.Second) // until the instance has ended
				n, ran := newNetwork(), 0
				n.serveRaw(t, "i:1", func(conn net.Conn, r *bufio.Reader) {
					refusal := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + caller.RefusedHeader + ": full\r\n"
					var last string
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						id := req.Header.Get("Request-Id")
						if last == "" {
							last = id
							_, _ = io.WriteString(conn, refusal+"Request-Id: "+id+"\r\n\r\n")
							continue
						}
						ran++
						_, _ = io.WriteString(conn, refusal+again+"\r\n")
						time.Sleep(time.Second)
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: "+id+"\r\n\r\ndone")
					}
				})
				n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t), identified).handler)
				first := "1" // the ID of the request that is refused
				if strings.Contains(again, "2") {
					first = "2"
				}
				must.Eq(t, outcome.NotRun, n.call(t, newRequest(t, http.MethodPost, "e:1", "/order", "5", "Request-Id", first)).outcome())
				got := n.call(t, newRequest(t, http.MethodPost, "e:1", "/order", "5", "Request-Id", "2"))
				if got.outcome() == outcome.NotRun {
					must.Zero(t, ran)
				}
			})
		})
	}
}

// Guards against a response whose head breaks off and that reaches the caller as a whole
// one with an empty or short body.
func TestResponseWhoseHeadBreaksOffIsNeverWhole(t *testing.T) {
	heads := map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\n",
		"chunked":      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until closed": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Type: text/plain\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for cut := range head {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					n.serveRaw(t, "i:1", func(conn net.Conn, r *bufio.Reader) {
						_, _ = http.ReadRequest(r)
						_, _ = io.WriteString(conn, head[:cut])
					})
					n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t), identified).handler)
					got := n.call(t, newRequest(t, http.MethodGet, "e:1", "/plain/x", "", "Request-Id", "1"))
					must.Eq(t, outcome.Unknown, got.outcome(), must.Sprintf("after %q", head[:cut]))
				})
			}
		})
	}
}
