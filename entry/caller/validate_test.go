package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/caller"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const signatureHeader = "Signed"

var errUnsigned = errors.New("unsigned")

// signed is a dialect in which responses echo the ID of their request and a success is signed.
func signed(cfg *caller.Config) {
	identified(cfg)
	cfg.Dialect.Validate = func(status int, h http.Header) error {
		if status < http.StatusMultipleChoices && h.Get(signatureHeader) == "" {
			return errUnsigned
		}
		return nil
	}
}

// Guards against a success that is not the response of an instance, although it echoes the ID, on
// each path to the caller.
func TestResponseThatIsNotValidIsNotForwardedOnAnyPath(t *testing.T) {
	for header, want := range map[string]outcome.Kind{"": outcome.Unknown, signatureHeader + ": 1\r\n": ""} {
		for _, way := range ways {
			t.Run(fmt.Sprintf("%q/%s", header, way), func(t *testing.T) {
				f := &fault{way: way, both: true, header: signatureHeader + ": 1\r\n", script: func(conn *net.TCPConn) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"Request-Id: "+ownID+"\r\nContent-Length: 2\r\n\r\nok")
				}}
				host := f.start(t, smallDial, signed)
				got, err := do(newRequest(t, http.MethodPut, host, f.path(), "body", "Request-Id", ownID))
				must.NoError(t, err)
				must.Eq(t, want, got.outcome(), must.Sprint(got.status, " ", got.body))
			})
		}
	}
}

// Guards against what such a response states being taken from it: that the instance leaves.
func TestResponseThatIsNotValidStatesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.serveRaw(t, "i:1", func(conn net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				header := signatureHeader + ": 1\r\n"
				if req.Header.Get("Request-Id") == ownID {
					header = caller.LeavingHeader + ": 1\r\n"
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"Request-Id: "+req.Header.Get("Request-Id")+"\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		n.serve(t, "e:1", newEntry(t, viewsOf("i:1"), newClaims(), n.pool(t), signed).handler)
		for _, id := range []string{"1", ownID, "8"} {
			got := n.call(t, newRequest(t, http.MethodGet, "e:1", "/plain/x", "", "Request-Id", id))
			must.Eq(t, id != ownID, got.body == "ok", must.Sprint(id))
		}
	})
}
