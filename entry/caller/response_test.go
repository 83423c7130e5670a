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
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/outcome"
)

func TestCallerThatStopsReadingIsLeftAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		views, members := loadsOf("i:1")
		ended := endless{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "400\r\n" + strings.Repeat("a", 1<<10) + "\r\n"}.serve(t, n, "i:1")
		n.serve(t, "e:1", newEntry(t, views, newClaims(), n.pool(t)).handler)
		conn, err := n.dial(t.Context(), "e:1")
		must.NoError(t, err)
		started := time.Now()
		_, err = io.WriteString(conn, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n"+caller.DeadlineHeader+": 3000\r\n\r\n")
		must.NoError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		<-ended
		must.Eq(t, callerDeadline, time.Since(started))
		synctest.Wait()
		must.Zero(t, members[0].Load().InFlight())
		_ = conn.Close()
	})
}

func TestDeadlineOfACallerDoesNotApplyToItsNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.serve(t, "i:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
		n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t)).handler)
		conn, err := n.dial(t.Context(), "e:1")
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for range 3 {
			_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: shop\r\n"+caller.DeadlineHeader+": 3000\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
			must.NoError(t, err)
			got, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusContinue, got.StatusCode)
			_, err = io.WriteString(conn, "ok")
			must.NoError(t, err)
			got, err = http.ReadResponse(reader, nil)
			must.NoError(t, err)
			body, err := io.ReadAll(got.Body)
			must.NoError(t, err)
			must.Eq(t, "ok", string(body))
			time.Sleep(2 * callerDeadline)
		}
	})
}

func TestResponseThatBreaksOffBeforeItsBodyIsUnknown(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	responses := map[string]endless{
		"no chunk":           {start: chunked, piece: "zz\r\n"},
		"extension":          {start: chunked + "1;", piece: "aaaaaaaaaaaaaaaaaaaa"},
		"trickled extension": {start: chunked + "1;", piece: "a", pause: time.Second},
		"trickled trailer":   {start: chunked + "0\r\nA: ", piece: "a", pause: time.Second},
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute) // until the connection is closed
				n := newNetwork()
				views, members := loadsOf("i:1")
				response.serve(t, n, "i:1")
				e := newEntry(t, views, newClaims(), n.pool(t))
				n.serve(t, "e:1", e.handler)
				client := n.client(t)
				send := func() *http.Response {
					got, err := client.Do(newRequest(t, http.MethodPost, "e:1", "/pay/1", "b", caller.DeadlineHeader, "3000", keyHeader, "k", caller.CallerHeader, "c"))
					must.NoError(t, err)
					_ = got.Body.Close()
					return got
				}
				started := time.Now()
				must.Eq(t, string(outcome.Unknown), send().Header.Get(outcome.Header))
				must.LessEq(t, callerDeadline, time.Since(started))
				must.Zero(t, members[0].Load().InFlight())
				waitSettled(t, e)
				again := send()
				must.Eq(t, string(outcome.Unknown), again.Header.Get(outcome.Header))
				must.Eq(t, string(outcome.AnswerLost), again.Header.Get(outcome.ReasonHeader))
			})
		})
	}
}

func TestResponseOverTheLimitIsCut(t *testing.T) {
	piece := strings.Repeat("a", 1<<10)
	bodies := map[string]endless{
		"chunks":       {start: "Transfer-Encoding: chunked\r\n\r\n", piece: "400\r\n" + piece + "\r\n"},
		"until closed": {start: "\r\n", piece: piece},
		"length":       {start: "Content-Length: 102401\r\n\r\n", piece: piece},
	}
	for name, response := range bodies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				views, members := loadsOf("i:1")
				response.start = "HTTP/1.1 200 OK\r\n" + response.start
				ended := response.serve(t, n, "i:1")
				e := newEntry(t, views, newClaims(), n.pool(t), withCloseDelimited, withResponseBytes(100<<10))
				n.serve(t, "e:1", e.handler)
				got, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", "/x", "b"))
				must.NoError(t, err)
				size, err := io.Copy(io.Discard, got.Body)
				if name == "length" {
					must.NoError(t, err)
					must.Eq(t, string(outcome.Unknown), got.Header.Get(outcome.Header))
				} else {
					must.ErrorIs(t, err, io.ErrUnexpectedEOF)
					must.LessEq(t, 100<<10, size)
				}
				<-ended
				synctest.Wait()
				must.Zero(t, members[0].Load().InFlight())
			})
		})
	}
}

func TestResponseWithinTheLimitIsWhole(t *testing.T) {
	responses := map[string]struct {
		text string
		size int64
	}{
		"at the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 102400\r\n\r\n" + strings.Repeat("a", 100<<10), 100 << 10},
		"no body":      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 102401\r\n\r\n", 0},
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				ended := endless{start: response.text, piece: "surplus"}.serve(t, n, "i:1")
				e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t), withResponseBytes(100<<10))
				n.serve(t, "e:1", e.handler)
				got, err := n.client(t).Do(newRequest(t, http.MethodPost, "e:1", "/x", "b"))
				must.NoError(t, err)
				size, err := io.Copy(io.Discard, got.Body)
				must.NoError(t, err)
				must.Eq(t, response.size, size)
				must.Eq(t, string(outcome.Answer), got.Header.Get(outcome.Header))
				e.pool.Close()
				<-ended
			})
		})
	}
}

func withResponseBytes(limit int64) option {
	return func(cfg *caller.Config) {
		cfg.Limits = caller.DefaultLimits()
		cfg.Limits.ResponseBytes = limit
	}
}

func TestCallerThatLeavesDoesNotCountAgainstTheInstance(t *testing.T) {
	leave := map[string]func(t *testing.T, conn net.Conn, r *bufio.Reader){
		"disconnects": func(t *testing.T, conn net.Conn, r *bufio.Reader) {
			_, err := http.ReadResponse(r, nil)
			must.NoError(t, err)
			must.NoError(t, conn.Close())
		},
		"stops reading": func(t *testing.T, conn net.Conn, r *bufio.Reader) {
			_, err := http.ReadResponse(r, nil)
			must.NoError(t, err)
			time.Sleep(2 * callerDeadline)
			must.NoError(t, conn.Close())
		},
	}
	for name, leave := range leave {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				addresses := []string{"i:1", "i:2", "i:3"}
				views, members := loadsOf(addresses...)
				for _, address := range addresses {
					endless{start: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", piece: strings.Repeat("a", 1<<10), pause: time.Millisecond}.serve(t, n, address)
				}
				n.serve(t, "e:1", newEntry(t, views, newClaims(), n.pool(t)).handler)
				for range 20 {
					conn, err := n.dial(t.Context(), "e:1")
					must.NoError(t, err)
					_, err = io.WriteString(conn, "GET /plain/1 HTTP/1.1\r\nHost: shop\r\n"+caller.DeadlineHeader+": 3000\r\n\r\n")
					must.NoError(t, err)
					leave(t, conn, bufio.NewReader(conn))
					time.Sleep(time.Second)
					for _, m := range members {
						must.Zero(t, m.Load().InFlight())
						must.Eq(t, route.Ready, m.State(time.Now().UnixNano()))
					}
				}
			})
		})
	}
}

func TestResponseWithoutABodyEndsAtTheRulesDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		l := n.listen("i:1")
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(conn)
			if _, err = http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
				_, _ = io.Copy(io.Discard, r)
			}
			_ = conn.Close()
		}()
		e := newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t))
		n.serve(t, "e:1", e.handler)
		started := time.Now()
		got, err := n.client(t).Do(newRequest(t, http.MethodGet, "e:1", "/plain/1", ""))
		must.NoError(t, err)
		_ = got.Body.Close()
		must.Eq(t, string(outcome.Unknown), got.Header.Get(outcome.Header))
		must.Eq(t, string(outcome.DeadlineExceeded), got.Header.Get(outcome.ReasonHeader))
		must.Eq(t, 5*time.Second, time.Since(started))
	})
}
