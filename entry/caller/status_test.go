package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// invalidStatuses are no three digits, or name no class of responses.
var invalidStatuses = []string{"000", "001", "099", "20", "2000", "0200", "abc", "2x0", "+20", "-20", "2.0", ""}

// respondWith returns a script that responds with a status and a body.
func respondWith(status string) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\nContent-Length: 20\r\n\r\n"+responsePart)
	}
}

// Guards against a response without a valid status that is forwarded as an answer, makes the
// handler panic, or is reported as not run although the instance got the request.
func TestResponseWithAnInvalidStatusIsNoAnswerOnAnyPath(t *testing.T) {
	options := map[string][]option{"native": nil, "close-delimited": {withCloseDelimited}}
	for _, way := range ways {
		for _, status := range invalidStatuses {
			for name, opts := range options {
				t.Run(fmt.Sprintf("%s/%q/%s", way, status, name), func(t *testing.T) {
					f := &fault{way: way, both: true, script: respondWith(status)}
					host := f.start(t, smallDial, opts...)
					for _, size := range []int{0, 100, uploadSizes[0]} {
						got, err := f.upload(t, host, size)
						must.NoError(t, err)
						must.Eq(t, http.StatusBadGateway, got.status)
						must.Eq(t, outcome.Unknown, got.outcome())
						must.Eq(t, outcome.UpstreamLost, got.reason())
						must.StrNotContains(t, got.body, responsePart)
					}
				})
			}
		}
	}
}

// Guards against a status of another entry host that is forwarded as an answer.
func TestRelayedResponseOfAHostWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		other := rawInstance(t, func(conn net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			respondWith(status)(conn.(*net.TCPConn))
		})
		instances := []string{deadAddress(t)}
		relay := &fakeRelay{hosts: []string{other}}
		relay.isolated.Store(true)
		host := newEntry(t, viewsOf(instances...), newClaims(), withRelay(relay))
		got := call(t, http.MethodPost, serveEntry(t, host), "/x", "body")
		must.Eq(t, http.StatusBadGateway, got.status, must.Sprint(status))
		must.Eq(t, outcome.Unknown, got.outcome())
	}
}

// Guards against a valid status that is refused.
func TestResponseWithAnUnusualStatusIsAnAnswerOnEveryPath(t *testing.T) {
	for _, way := range ways {
		for _, status := range []string{"200", "299", "404", "600", "999"} {
			f := &fault{way: way, both: true, script: respondWith(status)}
			host := f.start(t, smallDial)
			got, err := f.upload(t, host, 100)
			must.NoError(t, err)
			must.Eq(t, status, fmt.Sprint(got.status), must.Sprint(way))
			must.Eq(t, outcome.Answer, got.outcome())
		}
	}
}
