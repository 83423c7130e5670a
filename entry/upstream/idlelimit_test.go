package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
)

// forgetfulInstance answers requests and closes a connection without notice when a
// request arrives on it after it was idle for longer than a time.
type forgetfulInstance struct{ opened, closed int }

func (f *forgetfulInstance) dial(after time.Duration) upstream.Dial {
	return func(context.Context, string) (net.Conn, error) {
		f.opened++
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r := bufio.NewReader(far)
			for idleSince := time.Now(); readRequest(r) != ""; idleSince = time.Now() {
				if time.Since(idleSince) > after {
					f.closed++
					return
				}
				_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}()
		return near, nil
	}
}

// Guards against one failed send after another on links that instances close after a
// shorter idle time than the pool keeps them.
func TestIdleTimeAtWhichInstancesCloseLinksIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f forgetfulInstance
		pool := upstream.NewPool(upstream.WithDial(f.dial(120 * time.Millisecond)))
		defer pool.Close()
		failed := 0
		for range 50 {
			if _, err := fetch(t, pool, "i:1", "/"); err != nil {
				must.Eq(t, upstream.Stale, failureOf(t, err).Cause())
				failed++
			}
			time.Sleep(300 * time.Millisecond)
		}
		must.Between(t, 1, failed, 6)
		must.Eq(t, f.closed, failed)
		must.GreaterEq(t, 40, f.opened)
	})
}

// Guards against links that are never reused again once instances have closed some.
func TestLimitOnIdleTimeRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f forgetfulInstance
		pool := upstream.NewPool(upstream.WithDial(f.dial(time.Second)))
		defer pool.Close()
		for _, address := range []string{"i:1", "i:2"} {
			_, err := fetch(t, pool, address, "/")
			must.NoError(t, err)
		}
		time.Sleep(2 * time.Second)
		for _, address := range []string{"i:1", "i:2"} {
			_, err := fetch(t, pool, address, "/")
			must.Error(t, err)
		}
		time.Sleep(20 * time.Second)
		opened := f.opened
		for range 5 {
			_, err := fetch(t, pool, "i:1", "/")
			must.NoError(t, err)
			time.Sleep(900 * time.Millisecond)
		}
		must.Eq(t, opened+1, f.opened)
	})
}

// Guards against new links to all instances because one of them breaks links off while
// others keep theirs.
func TestInstanceThatBreaksLinksOffDoesNotLowerTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var bad, good forgetfulInstance
		dialBad, dialGood := bad.dial(0), good.dial(time.Hour)
		pool := upstream.NewPool(upstream.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			if address == "bad:1" {
				return dialBad(ctx, address)
			}
			return dialGood(ctx, address)
		}))
		defer pool.Close()
		for range 50 {
			_, _ = fetch(t, pool, "bad:1", "/")
			_, err := fetch(t, pool, "good:1", "/")
			must.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, 1, good.opened)
		must.Positive(t, bad.closed)
	})
}

// Guards against one failed send for each link to an instance that has ended meanwhile.
func TestLinksThatWereIdleForAsLongAreClosedWithAClosedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const links = 8
		var f forgetfulInstance
		pool := upstream.NewPool(upstream.WithDial(f.dial(time.Second)))
		defer pool.Close()
		var all []*upstream.Exchange
		for range links {
			exchange, err := pool.Send(t.Context(), "i:1", get(t, "/"))
			must.NoError(t, err)
			all = append(all, exchange)
		}
		for _, exchange := range all {
			_, err := io.ReadAll(exchange)
			must.NoError(t, err)
			exchange.Close()
		}
		time.Sleep(2 * time.Second)
		failed := 0
		for range links {
			if _, err := fetch(t, pool, "i:1", "/"); err != nil {
				failed++
			}
		}
		must.Eq(t, 1, failed)
	})
}
