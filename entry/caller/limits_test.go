package caller_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/world/outcome"
)

func TestOneCallerCannotUseTheWholeInFlightLimit(t *testing.T) {
	entered, release := make(chan struct{}, 100), make(chan struct{})
	address := httpInstance(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})
	limits := caller.DefaultLimits()
	limits.InFlight = 8
	entry := serveEntry(t, newEntry(t, viewsOf(address), newClaims(), func(cfg *caller.Config) { cfg.Limits = limits }))
	done := make(chan reply, 100)
	send := func(name string) {
		go func() {
			got, _ := do(newRequest(t, http.MethodGet, entry, "/x", "", caller.CallerHeader, name))
			done <- got
		}()
	}
	for range 4 { // one caller may use the limit up to half of it
		send("greedy")
		<-entered
	}
	send("greedy")
	got := <-done
	must.Eq(t, outcome.NotRun, got.outcome())
	must.Eq(t, outcome.Overload, got.reason())
	for _, name := range []string{"a", "b", "c", "d"} {
		send(name)
		<-entered
	}
	send("e")
	must.Eq(t, outcome.Overload, (<-done).reason())
	close(release)
	for range 8 {
		must.Eq(t, outcome.Answer, (<-done).outcome())
	}
	send("greedy")
	must.Eq(t, outcome.Answer, (<-done).outcome())
}

func TestConnectionsOfCallersAreLimited(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener := caller.LimitListener(inner, 2, 0)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.NoError(t, first.Close())
	_ = first.Close() // must not release the slot twice
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}
