package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const callerDeadline = 3 * time.Second

// endless is a response that starts and then repeats a piece, with a pause

// before each, until its connection is closed.

type endless struct {
	start, piece string
	pause        time.Duration
	early        bool // responds before it has read the body of the request
}

// serve responds to one request on each connection. It returns a channel that

// receives a value when a connection was closed.

func (e endless) serve(t *testing.T, n *network, address string) <-chan struct{} {
	ended := make(chan struct{}, 100)
	l := n.listen(address)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				e.respond(conn)
				ended <- struct{}{}
			}()
		}
	}()
	return ended
}

func (e endless) respond(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !e.early {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, err = io.WriteString(conn, e.start)
	for err == nil {
		if e.pause > 0 {
			time.Sleep(e.pause)
		}
		_, err = io.WriteString(conn, e.piece)
	}
}

// loadsOf returns views of one service, and the load of each instance.

func loadsOf(addresses ...string) (*route.Views, []route.Member) {
	var members []route.Member
	for _, address := range addresses {
		members = append(members, route.NewMember(instance.New(instance.ID(address), "shop", address), &route.Load{}))
	}
	views := &route.Views{}
	views.Store(map[string]*route.View{"shop": route.NewView("shop", members)})
	return views, members
}

func endlessHeads() map[string]endless {
	return map[string]endless{
		"header line":          {start: "HTTP/1.1 200 OK\r\nA: ", piece: "aaaaaaaaaaaaaaaaaaaa"},
		"header lines":         {start: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n"},
		"interim":              {piece: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"no status":            {piece: "xxxxxxxxxxxxxxxxxxxx"},
		"trickled line":        {start: "HTTP/1.1 200 OK\r\nA: ", piece: "a", pause: time.Second},
		"trickled lines":       {start: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n", pause: time.Second},
		"trickled interim":     {piece: "HTTP/1.1 103 Early Hints\r\n\r\n", pause: time.Second},
		"trickled status line": {piece: "x", pause: time.Second},
	}
}

func TestEndlessHeadIsUnknownOnce(t *testing.T) {
	for name, response := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				views, members := loadsOf("i:1")
				ended := response.serve(t, n, "i:1")
				e := newEntry(t, views, newClaims(), n.pool(t))
				n.serve(t, "e:1", e.handler)
				started := time.Now()
				got, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", "/x", "b", caller.DeadlineHeader, "3000"))
				must.NoError(t, err)
				_ = got.Body.Close()
				must.Eq(t, string(outcome.Unknown), got.Header.Get(outcome.Header))
				must.LessEq(t, callerDeadline, time.Since(started))
				<-ended
				synctest.Wait()
				must.Zero(t, members[0].Load().InFlight())
				inFlight, _ := e.backlog.InFlight(time.Now())
				must.Zero(t, inFlight)
			})
		})
	}
}

func TestInstanceWithEndlessResponsesIsEjected(t *testing.T) {
	responses := endlessHeads()
	responses["trickled body"] = endless{start: "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", piece: "a", pause: time.Second}
	responses["trickled chunks"] = endless{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1\r\na\r\n", pause: time.Second}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute) // until the last connection is closed
				n := newNetwork()
				views, members := loadsOf("i:1", "i:2", "i:3")
				ended := response.serve(t, n, "i:1")
				for _, address := range []string{"i:2", "i:3"} {
					n.serve(t, address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
				}
				n.serve(t, "e:1", newEntry(t, views, newClaims(), n.pool(t)).handler)
				client := n.client(t)
				for range 200 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					got, err := client.Do(newRequest(t, http.MethodPost, "e:1", "/x", "b", caller.DeadlineHeader, "3000").WithContext(ctx))
					if err == nil {
						_, _ = io.Copy(io.Discard, got.Body)
						_ = got.Body.Close()
					}
					cancel()
					if members[0].State(time.Now().UnixNano()) == route.Ejected {
						return
					}
				}
				t.Fatalf("still routed to after %d endless responses", len(ended))
			})
		})
	}
}

func TestAttemptAfterARefusalKeepsTheDeadline(t *testing.T) {
	for path, deadline := range map[string]time.Duration{"/x": 5 * time.Second, "/photos/1": 2 * time.Second, "/pay/1": 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			requests := make(chan struct{}, 2)
			handle := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				requests <- struct{}{}
				if len(requests) > 1 {
					<-r.Context().Done()
					return
				}
				w.Header().Set(caller.RefusedHeader, "full")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			n.serve(t, "i:1", http.HandlerFunc(handle))
			n.serve(t, "i:2", http.HandlerFunc(handle))
			n.serve(t, "e:1", newEntry(t, viewsOf("i:1", "i:2"), newClaims(), n.pool(t)).handler)
			started := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			got, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", path, "b", keyHeader, "k").WithContext(ctx))
			must.NoError(t, err)
			_ = got.Body.Close()
			must.Eq(t, string(outcome.Unknown), got.Header.Get(outcome.Header))
			must.Eq(t, string(outcome.DeadlineExceeded), got.Header.Get(outcome.ReasonHeader))
			must.Eq(t, deadline, time.Since(started))
		})
	}
}

func TestEndlessBodyOfARefusalIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		views, members := loadsOf("i:1", "i:2")
		refusal := "HTTP/1.1 503 Service Unavailable\r\n" + caller.RefusedHeader + ": full\r\nContent-Length: 1000000000\r\n\r\n"
		var ended []<-chan struct{}
		for _, address := range []string{"i:1", "i:2"} {
			ended = append(ended, endless{start: refusal, piece: "a", pause: time.Second}.serve(t, n, address))
		}
		e := newEntry(t, views, newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		started := time.Now()
		got, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", "/x", "b"))
		must.NoError(t, err)
		_ = got.Body.Close()
		must.Eq(t, string(outcome.NotRun), got.Header.Get(outcome.Header))
		must.Zero(t, time.Since(started))
		for n := range ended {
			<-ended[n]
			must.Zero(t, members[n].Load().InFlight())
		}
	})
}

func endlessBodies() map[string]endless {
	pieces := map[string]endless{
		"length":          {start: "Content-Length: 1000000000\r\n\r\n", piece: "a"},
		"chunks":          {start: "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\na\r\n"},
		"chunk extension": {start: "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1;", piece: "a"},
		"trailer":         {start: "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: ", piece: "a"},
		"until closed":    {start: "\r\na", piece: "a"},
	}
	bodies := map[string]endless{}
	for name, body := range pieces {
		body.start = "HTTP/1.1 200 OK\r\n" + body.start
		body.pause = 10 * time.Millisecond
		bodies[name] = body
	}
	return bodies
}

// withCloseDelimited accepts close-delimited responses.

func withCloseDelimited(cfg *caller.Config) {
	cfg.Dialect = &caller.Dialect{
		Service: caller.ServiceHeader, Caller: caller.CallerHeader, Deadline: caller.DeadlineHeader, Outcomes: true, CloseDelimited: true,
		Refused: func(int, http.Header) bool { return false },
		Load:    func(http.Header) (caller.LoadReport, bool) { return caller.LoadReport{}, false },
		WriteProblem: func(w http.ResponseWriter, response caller.ErrorResponse) {
			response.Problem.Write(w, response.ID)
		},
	}
}

func TestEndlessBodyEndsAtTheDeadlineOfTheCallerAndIsCut(t *testing.T) {
	for name, response := range endlessBodies() {
		for _, path := range []string{"/x", "/photos/1", "/pay/1"} { // the others may finish, and run at most once
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					defer time.Sleep(time.Minute) // until the connection is closed
					views, members := loadsOf("i:1")
					ended := response.serve(t, n, "i:1")
					e := newEntry(t, views, newClaims(), n.pool(t), withCloseDelimited)
					n.serve(t, "e:1", e.handler)
					started := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					req := newRequest(t, http.MethodPost, "e:1", path, "b", caller.DeadlineHeader, "3000", keyHeader, "k")
					got, err := n.client(t).Do(req.WithContext(ctx))
					end := callerDeadline
					switch {
					case err == nil && got.StatusCode == http.StatusGatewayTimeout: // nothing was forwarded before the deadline
						_, err = io.Copy(io.Discard, got.Body)
						must.NoError(t, err)
						must.Eq(t, string(outcome.Unknown), got.Header.Get(outcome.Header))
						if path == "/photos/1" {
							end = 2 * time.Second // the deadline of its rule
						}
					case err == nil:
						_, err = io.Copy(io.Discard, got.Body)
						must.ErrorIs(t, err, io.ErrUnexpectedEOF)
					default: // no byte of the body could be read before the deadline
						must.ErrorIs(t, err, io.EOF)
					}
					must.Eq(t, end, time.Since(started))
					<-ended
					waitSettled(t, e)
					must.Zero(t, members[0].Load().InFlight())
				})
			})
		}
	}
}

func TestEndlessInterimResponsesToACallerThatDoesNotReadEndAtItsDeadline(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "trickled": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute) // until the connection is closed
				n := newNetwork()
				views, members := loadsOf("i:1")
				endless{piece: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", pause: pause}.serve(t, n, "i:1")
				e := newEntry(t, views, newClaims(), n.pool(t))
				n.serve(t, "e:1", e.handler)
				conn, err := n.dial(t.Context(), "e:1")
				must.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n"+caller.DeadlineHeader+": 3000\r\n\r\n")
				must.NoError(t, err)
				time.Sleep(callerDeadline + time.Millisecond)
				must.Zero(t, members[0].Load().InFlight())
				inFlight, _ := e.backlog.InFlight(time.Now())
				must.Zero(t, inFlight)
			})
		})
	}
}

func TestEndlessResponseDuringAnUploadEndsAtTheDeadlineOfTheCaller(t *testing.T) {
	responses := endlessBodies()
	responses["header"] = endless{start: "HTTP/1.1 200 OK\r\nA: ", piece: "a", pause: time.Second}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute) // until the connection is closed
				response.early = true
				n := newNetwork()
				views, members := loadsOf("i:1")
				response.serve(t, n, "i:1")
				e := newEntry(t, views, newClaims(), n.pool(t), withCloseDelimited)
				n.serve(t, "e:1", e.handler)
				conn, err := n.dial(t.Context(), "e:1")
				must.NoError(t, err)
				defer func() { _ = conn.Close() }()
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: shop\r\n"+caller.DeadlineHeader+": 3000\r\nContent-Length: 100000\r\n\r\nthe start")
				must.NoError(t, err)
				time.Sleep(callerDeadline + time.Millisecond)
				must.Zero(t, members[0].Load().InFlight())
				inFlight, _ := e.backlog.InFlight(time.Now())
				must.Zero(t, inFlight)
			})
		})
	}
}

func TestRequestIsHedgedWhileAHeadDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		views, members := loadsOf("i:1", "i:2")
		for _, address := range []string{"i:1", "i:2"} {
			n.serve(t, address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) }))
		}
		e := newEntry(t, views, newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		client := n.client(t)
		send := func() {
			got, err := client.Do(newRequest(t, http.MethodGet, "e:1", "/late/x", ""))
			must.NoError(t, err)
			_ = got.Body.Close()
			must.Eq(t, string(outcome.Answer), got.Header.Get(outcome.Header))
		}
		for range 20 { // until the usual latency has been measured
			send()
		}
		time.Sleep(time.Minute)
		e.pool.Close()
		ended := endless{start: "HTTP/1.1 200 OK\r\nA: ", piece: "a", pause: time.Second}.serve(t, n, "i:1")
		for len(ended) == 0 {
			started := time.Now()
			send()
			must.Less(t, time.Second, time.Since(started))
			time.Sleep(time.Second)
		}
		must.Zero(t, members[0].Load().InFlight())
	})
}

func TestEndlessBodyEndsAfterTheCallerHasLeft(t *testing.T) {
	for path, deadline := range map[string]time.Duration{"/x": 0, "/photos/1": 2 * time.Second, "/pay/1": 5 * time.Second} {
		for name, response := range endlessBodies() {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					defer time.Sleep(time.Minute) // until the connection is closed
					n := newNetwork()
					views, members := loadsOf("i:1")
					response.serve(t, n, "i:1")
					e := newEntry(t, views, newClaims(), n.pool(t), withCloseDelimited)
					n.serve(t, "e:1", e.handler)
					conn, err := n.dial(t.Context(), "e:1")
					must.NoError(t, err)
					_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n"+keyHeader+": k\r\n\r\nb")
					must.NoError(t, err)
					time.Sleep(time.Second)
					must.NoError(t, conn.Close())
					time.Sleep(deadline + time.Millisecond)
					must.Zero(t, members[0].Load().InFlight())
					waitSettled(t, e)
				})
			})
		}
	}
}

// The header of a response is held back until the first byte of its body.
