package upstream_test

import (
	"bufio"
	"context"
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

// Guards against links that are never reused again once an instance has closed one.
func TestLimitOnIdleTimeRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f forgetfulInstance
		pool := upstream.NewPool(upstream.WithDial(f.dial(time.Second)))
		defer pool.Close()
		_, err := fetch(t, pool, "i:1", "/")
		must.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = fetch(t, pool, "i:1", "/")
		must.Error(t, err)
		time.Sleep(20 * time.Second)
		opened := f.opened
		for range 5 {
			_, err = fetch(t, pool, "i:1", "/")
			must.NoError(t, err)
			time.Sleep(900 * time.Millisecond)
		}
		must.Eq(t, opened+1, f.opened)
	})
}
