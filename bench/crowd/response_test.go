package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/knownred"
)

// largeDocument returns a legal configuration of 5 MB with 5,000 routes.
func largeDocument() string {
	var text strings.Builder
	text.WriteString(strings.TrimSuffix(strings.Replace(document, "00000001", "00000002", 1), "]}"))
	for n := range 5000 {
		fmt.Fprintf(&text, `,{"resourceType":"routes","metadata":{"name":"r%d"},"spec":{"hostname":"h%d","pathPrefix":"/%s/","routeType":"safe","timeoutMs":5000,"targetLatencyMs":600,"priority":1,"service":"shop","maxAttempts":2}}`, n, n, strings.Repeat("y", 800))
	}
	return text.String() + "]}"
}

// Guards against small requests for large messages, whose responses are in memory until the
// clients have read them.
func TestClientsThatDoNotReadLargeResponses(t *testing.T) {
	knownred.Skip(t)
	if os.Getenv(knownred.EnvVar) == "" {
		needsCrowd(t)
	}
	s := newSystem(t, true)
	response, err := http.Post("http://"+s.addresses["control"]+"/v1/Config.Put", "application/json", strings.NewReader(largeDocument()))
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
