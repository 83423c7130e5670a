package framing_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/framing"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

// startServer starts a protected server that echoes request bodies, and returns
// its address.
func startServer(t *testing.T) string {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write([]byte("echo " + string(body)))
	}))
	server.Listener = framing.Protect(server.Config, server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// exchange sends bytes on one connection, in parts, and returns the statuses
// and bodies of the responses.
func exchange(address string, wanted int, parts ...string) (statuses []int, bodies []string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil
	}
	defer func() { _ = conn.Close() }()
	for _, part := range parts {
		if _, err := conn.Write([]byte(part)); err != nil {
			return statuses, bodies
		}
	}
	reader := bufio.NewReader(conn)
	for range wanted {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		body, _ := io.ReadAll(response.Body)
		statuses, bodies = append(statuses, response.StatusCode), append(bodies, string(body))
		if response.Close {
			break
		}
	}
	return statuses, bodies
}

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	address := startServer(t)
	cases := map[string]string{
		"length and chunks":   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nX",
		"chunks and length":   "POST / HTTP/1.1\r\nHost: a\r\nTRANSFER-ENCODING: chunked\r\ncontent-length: 6\r\n\r\n0\r\n\r\nX",
		"two equal lengths":   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nX",
		"two lengths":         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nXY",
		"two codings":         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown coding":      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"bare LF":             "GET / HTTP/1.1\nHost: a\n\n",
		"one bare LF":         "GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n",
		"bare CR":             "GET / HTTP/1.1\r\nHost: a\r\nX: y\rZ: z\r\n\r\n",
		"folded line":         "GET / HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n",
		"space before colon":  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\nX",
		"signed length":       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nX",
		"NUL in a name":       "GET / HTTP/1.1\r\nHost: a\r\nX\x00: y\r\n\r\n",
		"no host":             "GET / HTTP/1.1\r\n\r\n",
		"two hosts":           "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"not a request":       "\x16\x03\x01\x02\x00\r\n\r\n",
		"bad chunk extension": "GET / HTTP/1.1 HTTP/1.1\r\nHost: a\r\n\r\n",
	}
	for name, request := range cases {
		statuses, _ := exchange(address, 2, request)
		must.Len(t, 1, statuses, must.Sprint(name))
		must.True(t, statuses[0] == http.StatusBadRequest || statuses[0] == http.StatusNotImplemented, must.Sprintf("%s: %d", name, statuses[0]))
	}
}

func TestRejectionHasAReason(t *testing.T) {
	statuses, bodies := exchange(startServer(t), 1, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	must.Eq(t, []int{http.StatusBadRequest}, statuses)
	must.StrContains(t, bodies[0], `"reason":"malformed"`)
	must.StrContains(t, bodies[0], "both Content-Length and Transfer-Encoding")
}

// A connection may carry any mix of complete requests, split anywhere into
// segments. Guards against a scanner that parses part of a body as a head.
func TestCompleteRequestsPassHoweverTheyAreSplit(t *testing.T) {
	address := startServer(t)
	request := rapid.Custom(func(t *rapid.T) string {
		body := rapid.SampledFrom([]string{"", "x", "a\nb", "GET / HTTP/1.1\nTransfer-Encoding: x\n\n", strings.Repeat("y\n", 40)}).Draw(t, "body")
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			return "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("z", rapid.IntRange(0, 200).Draw(t, "long")) + "\r\n\r\n"
		case 1:
			return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		default:
			return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body)
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.SliceOfN(request, 1, 5).Draw(t, "requests")
		statuses, _ := exchange(address, len(requests), splitAnywhere(t, strings.Join(requests, ""))...)
		must.Eq(t, len(requests), len(statuses))
		for _, status := range statuses {
			must.Eq(t, http.StatusOK, status)
		}
	})
}

func splitAnywhere(t *rapid.T, all string) []string {
	var parts []string
	for len(all) > 0 {
		n := rapid.IntRange(1, len(all)).Draw(t, "cut")
		parts = append(parts, all[:n])
		all = all[n:]
	}
	return parts
}

func chunked(body string) string {
	if body == "" {
		return "0\r\n\r\n"
	}
	return strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
}
