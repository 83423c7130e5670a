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
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// stopAfter is the time until a stopping host ends its requests, less than every
// deadline of the rules.
const stopAfter = 1500 * time.Millisecond

// oneSlot returns the views of instances that take one request at a time.
func oneSlot(addresses ...string) *route.Views {
	views := &route.Views{}
	var members []route.Member
	for _, address := range addresses {
		members = append(members, route.NewMember(instance.New(instance.ID(address), "shop", address, instance.WithSlots(1)), &route.Load{}))
	}
	views.Store(map[string]*route.View{"shop": route.NewView("shop", members)})
	return views
}

func withOneSlotEach(addresses ...string) option {
	return func(cfg *caller.Config) {
		cfg.Router = route.NewRouter(oneSlot(addresses...), route.NewAdaptive(route.WithHeadroom(0)), route.WithTerms(termsOf(cfg.Table)))
	}
}

func withOneLink(n *network) option {
	return func(cfg *caller.Config) {
		cfg.Pool = upstream.NewPool(upstream.WithDial(n.dial), upstream.WithMaxLinks(1))
	}
}

// refuseFirst refuses the first request of an instance and does nothing with others.
func refuseFirst() http.HandlerFunc {
	var refused atomic.Bool
	return func(w http.ResponseWriter, _ *http.Request) {
		if !refused.Swap(true) {
			w.Header().Set(caller.RefusedHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

func withBufferBytes(n int64) option {
	return func(cfg *caller.Config) {
		cfg.Limits = caller.DefaultLimits()
		cfg.Limits.BufferBytes = n
	}
}

func TestEachHeldRequestGetsItsOutcomeAtTheEndOfAStop(t *testing.T) {
	tests := map[string]struct {
		before  string // an earlier request, which occupies what this one waits for
		request string
		option  func(n *network) option
		respond http.HandlerFunc // what the instance does first, nil for nothing
		others  []string         // instances that do the same
		kind    outcome.Kind
		reason  outcome.Reason
		status  int
	}{
		"silent instance": {
			request: "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n",
			kind:    outcome.Unknown, reason: outcome.UpstreamLost, status: http.StatusBadGateway,
		},
		"response without its body": {
			request: "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n",
			respond: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "5")
				_ = http.NewResponseController(w).Flush()
			},
			kind: outcome.Unknown, reason: outcome.UpstreamLost, status: http.StatusBadGateway,
		},
		"silent instance after a refusal": {
			request: "POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n\r\n5",
			respond: refuseFirst(), others: []string{"i:2"},
			kind: outcome.Unknown, reason: outcome.UpstreamLost, status: http.StatusBadGateway,
		},
		"silent instance, hedged": {
			request: "GET /late/1 HTTP/1.1\r\nHost: shop\r\n\r\n",
			kind:    outcome.Unknown, reason: outcome.UpstreamLost, status: http.StatusBadGateway,
		},
		"silent instance, at most once": {
			request: "POST /pay/1 HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\n5",
			kind:    outcome.Unknown, reason: outcome.UpstreamLost, status: http.StatusBadGateway,
		},
		"key held by another request": {
			before:  "POST /pay/1 HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\n5",
			request: "POST /pay/1 HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\n5",
			kind:    outcome.Unknown, reason: outcome.ClaimHeld, status: http.StatusConflict,
		},
		"no free slot": {
			before:  "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n",
			request: "POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n\r\n5",
			option:  func(*network) option { return withOneSlotEach("i:1") },
			kind:    outcome.NotRun, reason: outcome.HostStopping, status: http.StatusServiceUnavailable,
		},
		"no free link": {
			before:  "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n",
			request: "POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n\r\n5",
			option:  withOneLink,
			kind:    outcome.NotRun, reason: outcome.HostStopping, status: http.StatusServiceUnavailable,
		},
		"small body incomplete": {
			request: "POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: 100\r\n\r\n5",
			kind:    outcome.NotRun, reason: outcome.HostStopping, status: http.StatusServiceUnavailable,
		},
		"large body incomplete": {
			request: "POST /photos/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 100000\r\n\r\n5",
			kind:    outcome.Unknown, reason: outcome.UpstreamLost, status: http.StatusBadGateway,
		},
		"body incomplete, larger than the buffer": {
			request: "POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: 100\r\n\r\n5",
			option:  func(*network) option { return withBufferBytes(10) },
			kind:    outcome.Unknown, reason: outcome.UpstreamLost, status: http.StatusBadGateway,
		},
		"large body unread, no free slot": {
			before:  "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n",
			request: "POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: 100000\r\n\r\n5",
			option:  func(*network) option { return withOneSlotEach("i:1") },
			kind:    outcome.NotRun, reason: outcome.HostStopping, status: http.StatusServiceUnavailable,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				instance := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if test.respond != nil {
						test.respond(w, r)
					}
					if w.Header().Get(caller.RefusedHeader) == "" {
						<-r.Context().Done()
					}
				})
				n.serve(t, "i:1", instance)
				n.serve(t, "i:2", instance)
				opts := []option{n.pool(t)}
				if test.option != nil {
					opts = append(opts, test.option(n))
				}
				e := newEntry(t, viewsOf(append(test.others, "i:1")...), newClaims(), opts...)
				t.Cleanup(e.pool.Close)
				n.serve(t, "e:1", e.handler)
				if test.before != "" {
					n.send(t, test.before)
					synctest.Wait()
				}
				conn := n.send(t, test.request)
				e.stopping.Store(true)
				e.handler.EndRequestsAt(time.Now().Add(stopAfter))
				started := time.Now()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				must.Eq(t, stopAfter, time.Since(started))
				_, err = io.Copy(io.Discard, response.Body)
				must.NoError(t, err)
				must.Eq(t, test.status, response.StatusCode)
				must.Eq(t, string(test.kind), response.Header.Get(outcome.Header))
				must.Eq(t, string(test.reason), response.Header.Get(outcome.ReasonHeader))
				must.True(t, response.Close)
				must.Eq(t, test.kind == outcome.NotRun, response.Header.Get("Retry-After") != "")
			})
		})
	}
}

// send opens a connection to the entry host, sends text and returns the connection.
func (n *network) send(t testing.TB, text string) net.Conn {
	conn, err := n.dial(t.Context(), "e:1")
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.WriteString(conn, text) }()
	return conn
}

func TestInstancesAreToldTheShorterDeadlineOfAStoppingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.serve(t, "i:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.Header.Get(caller.DeadlineHeader))
		}))
		e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		e.handler.EndRequestsAt(time.Now().Add(stopAfter))
		response, err := n.client(t).Do(newRequest(t, http.MethodGet, "e:1", "/plain/1", ""))
		must.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, "1500", string(data))
	})
}

func TestResponseThatHasBegunOutlivesTheEndOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.serve(t, "i:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "begun ")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * stopAfter)
			_, _ = io.WriteString(w, "ended")
		}))
		e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		response, err := n.client(t).Do(newRequest(t, http.MethodGet, "e:1", "/plain/1", ""))
		must.NoError(t, err)
		e.handler.EndRequestsAt(time.Now().Add(stopAfter))
		data, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, "begun ended", string(data))
	})
}

func TestRequestsAfterTheListenerClosedAreRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, runs := newNetwork(), &counter{}
		n.serve(t, "i:1", runs)
		e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		e.stopping.Store(true)
		e.handler.RefuseRequests()
		response, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", "/order", "5"))
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, string(outcome.NotRun), response.Header.Get(outcome.Header))
		must.Eq(t, string(outcome.HostStopping), response.Header.Get(outcome.ReasonHeader))
		must.NotEq(t, "", response.Header.Get("Retry-After"))
		must.Zero(t, runs.of(""))
	})
}

func TestRefusalOfAStoppingHostAsksForAnEarlyRetryInADialect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		refusals := make(chan caller.ErrorResponse, 1)
		e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t), func(cfg *caller.Config) {
			cfg.Dialect = &caller.Dialect{Service: caller.ServiceHeader, WriteProblem: func(w http.ResponseWriter, refusal caller.ErrorResponse) {
				refusals <- refusal
				w.WriteHeader(http.StatusServiceUnavailable)
			}}
		})
		n.serve(t, "e:1", e.handler)
		e.handler.RefuseRequests()
		response, err := n.client(t).Do(newRequest(t, http.MethodGet, "e:1", "/plain/1", ""))
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Between(t, time.Millisecond, (<-refusals).RetryAfter, 100*time.Millisecond)
	})
}

func TestAnswersOfRequestsFromBeforeAStopCloseTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.serve(t, "i:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			w.WriteHeader(http.StatusNoContent)
		}))
		e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		conn := n.send(t, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n")
		synctest.Wait()
		e.stopping.Store(true)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusNoContent, response.StatusCode)
		must.True(t, response.Close)
	})
}

// responseRaces is the number of responses that begin at the very end of a stop.
const responseRaces = 200

func TestResponseThatBeginsAtTheEndOfRequestsIsComplete(t *testing.T) {
	for range responseRaces {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(2 * stopAfter) // until the instance ends
			n := newNetwork()
			n.serve(t, "i:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(stopAfter)
				_, _ = io.WriteString(w, "begun ")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(w, "ended")
			}))
			e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t))
			t.Cleanup(e.pool.Close)
			n.serve(t, "e:1", e.handler)
			e.stopping.Store(true)
			conn := n.send(t, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n")
			e.handler.EndRequestsAt(time.Now().Add(stopAfter))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			data, err := io.ReadAll(response.Body)
			must.NoError(t, err, must.Sprint("the response is truncated"))
			if response.StatusCode == http.StatusOK {
				must.Eq(t, "begun ended", string(data))
			} else {
				must.Eq(t, string(outcome.Unknown), response.Header.Get(outcome.Header))
			}
		})
	}
}

func TestUnknownOutcomeOfAnEarlierAttemptIsNotHiddenByTheStop(t *testing.T) {
	tests := map[string]func(n *network) option{ // what the second attempt waits for
		"slot": func(*network) option { return withOneSlotEach("i:1", "i:2") },
		"link": withOneLink,
	}
	for name, option := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				for _, address := range []string{"i:1", "i:2"} {
					n.serve(t, address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
						if r.URL.Path == "/dropped" {
							panic(http.ErrAbortHandler)
						}
						<-r.Context().Done()
					}))
				}
				e := newEntry(t, viewsOf("i:1", "i:2"), newClaims(), n.pool(t), option(n))
				t.Cleanup(e.pool.Close)
				n.serve(t, "e:1", e.handler)
				n.send(t, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n") // occupies one of the instances
				synctest.Wait()
				conn := n.send(t, "GET /dropped HTTP/1.1\r\nHost: shop\r\n\r\n")
				e.stopping.Store(true)
				e.handler.EndRequestsAt(time.Now().Add(stopAfter))
				started := time.Now()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				must.Eq(t, stopAfter, time.Since(started), must.Sprint("the second attempt did not wait"))
				must.Eq(t, http.StatusBadGateway, response.StatusCode)
				must.Eq(t, string(outcome.Unknown), response.Header.Get(outcome.Header))
				must.Eq(t, string(outcome.UpstreamLost), response.Header.Get(outcome.ReasonHeader))
				must.Eq(t, "", response.Header.Get("Retry-After"))
			})
		})
	}
}

// stillSending is how long after its response a caller may go on sending.
const stillSending = 100 * time.Millisecond

func TestHostGoesOnReadingAfterAnOutcomeAtTheEndOfAStop(t *testing.T) {
	for name, length := range map[string]string{"read in part": "100", "not read": "100000"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				n.serve(t, "i:1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
				e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t), withOneSlotEach("i:1"))
				t.Cleanup(e.pool.Close)
				n.serve(t, "e:1", e.handler)
				n.send(t, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n")
				synctest.Wait()
				conn := n.send(t, "POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: "+length+"\r\n\r\n5")
				e.stopping.Store(true)
				e.handler.EndRequestsAt(time.Now().Add(stopAfter))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
				time.Sleep(stillSending)
				// A host that closes a connection with bytes to read resets it, and may
				// thereby withdraw its response.
				_, err = conn.Write([]byte("5"))
				must.NoError(t, err)
			})
		})
	}
}

func TestCheckOfAnInstanceDoesNotOutlastTheEndOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sinceDrop = 10 * time.Millisecond
		n, dials := newNetwork(), 0
		n.serve(t, "i:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			time.Sleep(stopAfter - sinceDrop)
			panic(http.ErrAbortHandler)
		}))
		unreachableAfterwards := func(ctx context.Context, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return n.dial(ctx, address)
		}
		e := newEntry(t, viewsOf("i:1"), newClaims(), func(cfg *caller.Config) {
			cfg.Pool = upstream.NewPool(upstream.WithDial(unreachableAfterwards))
		})
		n.serve(t, "e:1", e.handler)
		e.stopping.Store(true)
		conn := n.send(t, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n\r\n")
		e.handler.EndRequestsAt(time.Now().Add(stopAfter))
		started := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, stopAfter, time.Since(started))
		must.Eq(t, string(outcome.Unknown), response.Header.Get(outcome.Header))
		must.Eq(t, 2, dials)
	})
}
