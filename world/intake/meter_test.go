package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const testHeadBytes = 16_384

func newMeter() *meter {
	return &meter{maxLines: DefaultHeadLines, maxBytes: testHeadBytes + headSlop, bodyCost: 1}
}

func headOf(line string) string {
	const start = "GET / HTTP/1.1\r\nHost: a\r\n"
	return start + strings.Repeat(line, (testHeadBytes-len(start)-len("\r\n"))/len(line)) + "\r\n"
}

// Guards against limits that clients within the rules reach.
func TestHeadOfLegalSizeIsNotRefused(t *testing.T) {
	for _, line := range []string{"a:\r\n", "ab: c\r\n", "x: " + strings.Repeat("y", 4000) + "\r\n"} {
		m := newMeter()
		m.feed([]byte(headOf(line) + strings.Repeat("\n", 10_000)))
		must.True(t, m.headEnded)
		must.Eq(t, "", m.refusal())
	}
}

func TestHeadWithoutEndIsRefused(t *testing.T) {
	for text, want := range map[string]Refusal{
		"a:\n": TooManyLines, "\n": TooManyLines, "\r\n": TooManyLines, "ab:\r\n": TooManyBytes, "x": TooManyBytes, "x: yyyy\r\n": TooManyBytes,
	} {
		m := newMeter()
		for m.refusal() == "" {
			m.feed([]byte(text))
			must.LessEq(t, testHeadBytes+headSlop+len(text), m.bytes, must.Sprintf("%q", text))
		}
		must.Eq(t, want, m.refusal(), must.Sprintf("%q", text))
	}
}

// Guards against a head of many lines that hides behind another request, because the
// server buffers what a client sends early.
func TestBytesAfterARequestAreChargedToTheNext(t *testing.T) {
	m := newMeter()
	m.feed([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 500)))
	must.Eq(t, 501*headLineCost, m.next())
	must.Eq(t, 0, m.lines)
}

func TestBodyIsChargedUpToItsBound(t *testing.T) {
	m := newMeter()
	m.maxBodyCost = 100
	m.feed([]byte("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n"))
	must.Eq(t, 90, m.feed(bytes.Repeat([]byte("y"), 90)))
	must.Eq(t, 10, m.feed(bytes.Repeat([]byte("y"), 90)))
	must.Eq(t, 0, m.feed(bytes.Repeat([]byte("y"), 90)))
}

// Guards against trailers and parameters of a query, which become maps like header lines.
func TestTrailersAndParametersAreCharged(t *testing.T) {
	m := newMeter()
	start := m.feed([]byte("POST /?" + strings.Repeat("a&", 1000) + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	must.Greater(t, 1000*parameterCost, start)
	must.Greater(t, 900*headLineCost, m.feed([]byte("0\r\n"+strings.Repeat("a:\r\n", 900)+"\r\n")))
	must.Eq(t, bufferBytes*headLineCost, newMeterInBody().feed(bytes.Repeat([]byte("\n"), 1<<20))-1<<20)
}

func newMeterInBody() *meter {
	m := newMeter()
	m.headEnded = true
	return m
}

// FuzzHead checks that the head of a request that the server accepts ends for the meter
// where it ends for the server, so that no line of it is uncounted, and that what is found
// does not depend on how the bytes arrive.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nrest", "GET / HTTP/1.1\nHost: a\n\nrest", "GET / HTTP/1.1\r\nHost: a\r\n x\r\n\t\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "\n", "\r\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\na:\r\r\n\r\nb", "GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n", headOf("a:\r\n"), headOf("a:\n"), strings.Repeat("\r\n", 5000),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, split := newMeter(), newMeter()
		cost, parts := whole.feed(data), int64(0)
		for n := range data {
			parts += split.feed(data[n : n+1])
		}
		must.Eq(t, cost-whole.trailer, parts-split.trailer)
		must.Eq(t, whole.refusal(), split.refusal())
		must.Eq(t, whole.headEnded, split.headEnded)
		reader := bytes.NewReader(data)
		buffered := bufio.NewReader(reader)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		must.True(t, whole.headEnded)
		must.Eq(t, len(data)-reader.Len()-buffered.Buffered(), whole.bytes, must.Sprint(fmt.Sprintf("%q", data)))
	})
}
