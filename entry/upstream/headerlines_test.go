package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"pgregory.net/rapid"
)

// respondInPieces returns a dial function to an instance that sends a response in the given pieces.
func respondInPieces(pieces ...string) upstream.Dial {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			for _, piece := range pieces {
				if _, err := io.WriteString(server, piece); err != nil {
					return
				}
			}
			_, _ = io.Copy(io.Discard, server)
		}()
		return client, nil
	}
}

func getFrom(ctx context.Context, dial upstream.Dial) (*upstream.Exchange, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://instance/", nil)
	if err != nil {
		return nil, err
	}
	return upstream.NewPool(upstream.WithDial(dial)).Send(ctx, "instance", req)
}

// Short lines took twenty times their length in memory.
func TestHeadOfManyShortLinesIsCutOffEarly(t *testing.T) {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	for n := range 4000 {
		_, _ = fmt.Fprintf(&head, "%x:\r\n", n)
	}
	_, err := getFrom(t.Context(), respondInPieces(head.String(), "Content-Length: 0\r\n\r\n"))
	must.Error(t, err)
}

// A body of line ends is no header, wherever the pieces end.
func TestBodyOfLineEndsIsReadWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		body := strings.Repeat(rapid.SampledFrom([]string{"\n", "\r\n", "\n\r\n"}).Draw(rt, "line"), 1000)
		whole := fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		at := rapid.IntRange(1, 120).Draw(rt, "at")
		exchange, err := getFrom(t.Context(), respondInPieces(whole[:at], whole[at:]))
		must.NoError(rt, err)
		defer exchange.Close()
		got, err := io.ReadAll(exchange)
		must.NoError(rt, err)
		must.Eq(rt, body, string(got))
	})
}

// The body of a discarded response to another request is no header either.
func TestDiscardedBodyOfLineEndsIsNoHeader(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 8000\r\n\r\n" + strings.Repeat("\n", 8000)
	dial := respondInPieces(late+"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 3\r\n\r\nown", "")
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://instance/", nil)
	must.NoError(t, err)
	exchange, err := upstream.NewPool(upstream.WithDial(dial)).Send(t.Context(), "instance", req, upstream.WithIdentity("Request-Id", "2"))
	must.NoError(t, err)
	defer exchange.Close()
	got, err := io.ReadAll(exchange)
	must.NoError(t, err)
	must.Eq(t, "own", string(got))
}
