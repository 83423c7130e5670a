package crowd_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/platform/sample"
	"github.com/snipebeam/snipebeam/world/knownred"
)

// largeRoutes makes a legal configuration of 5 MB.
const largeRoutes = 5000

// Guards against small requests for large messages, whose responses are in memory until the
// clients have read them.
func TestClientsThatDoNotReadLargeResponses(t *testing.T) {
	knownred.Skip(t)
	if os.Getenv(knownred.EnvVar) == "" {
		needsCrowd(t)
	}
	s := newSystem(t, true)
	response, err := http.Post("http://"+s.addresses["control"]+sample.ConfigPath, "application/json", strings.NewReader(sample.Config(2, largeRoutes)))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusOK, response.StatusCode)
	for _, path := range []string{"Read", "Watch"} {
		s.testCrowd(t, listener{name: "control peers", control: true, path: "/metrics", wants: http.StatusOK}, path, func(t *testing.T) {
			const clients, settle = 100, 2 * time.Second // the memory is reached in the first of them
			for range clients {
				conn, err := net.Dial("tcp", s.addresses["control peers"])
				must.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "POST /twirp/snipebeam.wire.Rules/"+path+" HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
			}
			time.Sleep(settle)
		})
	}
}
