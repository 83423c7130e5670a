package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// ownID is the ID of the request to which an instance sends a response that does not echo it.
const ownID = "7"

// unidentified are responses that may belong to another request, or to none.
var unidentified = map[string]string{
	"success":        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwrong bytes",
	"without length": "HTTP/1.1 200 OK\r\n\r\nwrong bytes",
	"refusal":        "HTTP/1.1 503 Service Unavailable\r\n" + caller.RefusedHeader + ": full\r\nContent-Length: 0\r\n\r\n",
	"client error":   "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	"empty ID":       "HTTP/1.1 200 OK\r\nRequest-Id:\r\nContent-Length: 11\r\n\r\nwrong bytes",
	"two IDs":        "HTTP/1.1 200 OK\r\nRequest-Id: " + ownID + "\r\nRequest-Id: 6\r\nContent-Length: 11\r\n\r\nwrong bytes",
}

// Guards against bytes in place of a response that reach the caller as the response, or as a
// refusal, on a connection that no request has used before.
func TestResponseWithoutTheIDOfItsRequestIsNotForwardedOnAnyPath(t *testing.T) {
	for name, response := range unidentified {
		for _, way := range ways {
			t.Run(fmt.Sprintf("%s/%s", name, way), func(t *testing.T) {
				f := &fault{way: way, both: true, script: func(conn *net.TCPConn) { _, _ = io.WriteString(conn, response) }}
				host := f.start(t, smallDial, identified)
				got, err := do(newRequest(t, http.MethodPut, host, f.path(), "body", "Request-Id", ownID))
				must.NoError(t, err)
				must.Eq(t, outcome.Unknown, got.outcome(), must.Sprint(got.status, " ", got.body))
			})
		}
	}
}

// serveIdentified serves an instance of which the request with ownID gets the given bytes, and
// each other one a response that echoes its ID.
func serveIdentified(t *testing.T, n *network, address, response string) {
	n.serveRaw(t, address, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get("Request-Id")
			if id == ownID {
				_, _ = io.WriteString(conn, response)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: "+id+"\r\n\r\ndone")
		}
	})
}

// Guards against an instance that is not used any more, or is limited, because of bytes that it
// did not send in response to the request.
func TestResponseWithoutTheIDOfItsRequestStatesNothing(t *testing.T) {
	for name, statement := range map[string]string{"leaving": caller.LeavingHeader + ": 1", "limit": caller.RateLimitHeader + ": 0"} {
		for used, first := range map[bool]string{false: ownID, true: "1"} {
			t.Run(fmt.Sprintf("%s/used connection %t", name, used), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					serveIdentified(t, n, "i:1", "HTTP/1.1 200 OK\r\n"+statement+"\r\nContent-Length: 11\r\n\r\nwrong bytes")
					views, members := loadsOf("i:1")
					n.serve(t, "e:1", newEntry(t, views, newClaims(), n.pool(t), identified).handler)
					for _, id := range []string{first, ownID} {
						n.call(t, newRequest(t, http.MethodPost, "e:1", "/order", "5", "Request-Id", id))
					}
					must.False(t, members[0].Load().RateLimit().Limited())
					got := n.call(t, newRequest(t, http.MethodPost, "e:1", "/order", "5", "Request-Id", "8"))
					must.Eq(t, "done", got.body)
				})
			})
		}
	}
}

// Guards against a hedge whose wrong bytes end the other attempt, which would be answered.
func TestResponseWithoutTheIDOfItsRequestDoesNotWinAHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var arrivals atomic.Int32
		for _, address := range []string{"i:1", "i:2"} {
			n.serveRaw(t, address, func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if arrivals.Add(1) == 2 {
					_, _ = io.WriteString(conn, unidentified["success"])
					return
				}
				time.Sleep(time.Second)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\n\r\nown")
			})
		}
		e := newEntry(t, viewsOf("i:1", "i:2"), newClaims(), n.pool(t), identified, func(cfg *caller.Config) { cfg.Router = hedgeAtOnce{cfg.Router} })
		n.serve(t, "e:1", e.handler)
		got := n.call(t, newRequest(t, http.MethodGet, "e:1", "/late/x", "", "Request-Id", ownID))
		must.Eq(t, "own", got.body)
		must.Eq(t, 2, arrivals.Load())
	})
}

// Guards against bytes in place of the response of another entry host that reach the caller as the
// response of an instance, or as "not run".
func TestResponseOfAnotherHostWithoutTheIDOfItsRequestIsNotForwarded(t *testing.T) {
	notRun := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", outcome.Header, outcome.NotRun)
	for name, response := range map[string]string{"success": unidentified["success"], "not run": notRun} {
		for used, first := range map[bool]string{false: ownID, true: "1"} {
			t.Run(fmt.Sprintf("%s/used connection %t", name, used), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					serveIdentified(t, n, "e:2", response)
					relay := &fakeRelay{hosts: []string{"e:2"}}
					relay.isolated.Store(true)
					n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t), n.relayPool(t), identified, withRelay(relay)).handler)
					var got reply
					for _, id := range []string{first, ownID} {
						got = n.call(t, newRequest(t, http.MethodPost, "e:1", "/order", "5", "Request-Id", id))
					}
					must.Eq(t, outcome.Unknown, got.outcome(), must.Sprint(got.status, " ", got.body))
				})
			})
		}
	}
}

// relayPool has an entry host reach other ones over the network.
func (n *network) relayPool(t testing.TB) option {
	return func(cfg *caller.Config) {
		cfg.RelayPool = upstream.NewPool(upstream.WithDial(n.dial))
		t.Cleanup(cfg.RelayPool.Close)
	}
}

// Guards against a request without an ID, whose response could not be told from others: an
// instance must not get it.
func TestRequestWithoutAnIDIsRefused(t *testing.T) {
	var arrivals atomic.Int32
	instance := httpInstance(t, func(http.ResponseWriter, *http.Request) { arrivals.Add(1) })
	address := serveEntry(t, newEntry(t, viewsOf(instance), newClaims(), identified))
	for _, ids := range [][]string{nil, {""}, {"7", "8"}} {
		req := newRequest(t, http.MethodPost, address, "/order", "5")
		req.Header["Request-Id"] = ids
		got, err := do(req)
		must.NoError(t, err)
		must.Eq(t, http.StatusBadRequest, got.status, must.Sprint(ids))
		must.Eq(t, outcome.NotRun, got.outcome())
	}
	must.Zero(t, arrivals.Load())
}

// Guards against a header of an instance that is taken for the outcome that another entry host
// states: the instance has run the request.
func TestOutcomeHeaderOfAnInstanceIsNotThatOfTheRelayingHost(t *testing.T) {
	for name, keys := range map[string][2]string{"same key": {"a", "a"}, "keys that differ while they are replaced": {"a", "b"}} {
		t.Run(name, func(t *testing.T) {
			instance := httpInstance(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set(outcome.Header, string(outcome.NotRun))
			})
			withKey := func(k string) option { return func(cfg *caller.Config) { cfg.PeerKeys = key.New(k) } }
			relay := &fakeRelay{hosts: []string{serveEntry(t, newEntry(t, viewsOf(instance), newClaims(), identified, withKey(keys[0])))}}
			relay.isolated.Store(true)
			host := serveEntry(t, newEntry(t, viewsOf(instance), newClaims(), identified, withKey(keys[1]), withRelay(relay)))
			got := call(t, http.MethodPost, host, "/order", "5", "Request-Id", ownID)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, "", got.outcome())
		})
	}
}
