package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

// legalHeadBytes is the largest head within the limits that clients are told.
const legalHeadBytes = 16_384

// letters are those of short names; a name's case does not distinguish it.
const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// shortName returns the n-th name of two bytes.
func shortName(n int) string {
	n %= len(letters) * len(letters)
	return string([]byte{letters[n/len(letters)], letters[n%len(letters)]})
}

// idLine is the ID that each request of a caller on the platform has.
const idLine = "Request-Id: 1\r\n"

func (t Target) start() string {
	return t.Method + " " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + idLine
}

// fill appends lines to a head until it has the size, less the empty line that ends it.
func (t Target) fill(size int, line func(n int) string) []byte {
	head := []byte(t.start())
	for n := 0; ; n++ {
		next := line(n)
		if len(head)+len(next)+len("\r\n") > size {
			return head
		}
		head = append(head, next...)
	}
}

func shortLine(n int) string { return shortName(n) + ":\r\n" }

// oddLines are lines that few clients send.
var oddLines = []func(n int) string{
	func(int) string { return " x\r\n" },
	func(n int) string { return shortName(n) + "\r\n" },
	func(n int) string { return shortName(n) + ":\x01\r\n" },
	func(int) string { return "a:\r\n" },
	func(n int) string { return shortName(n) + ":\n" },
}

// ShortLines is a head of legal size that consists of very many short lines.
func ShortLines(t Target, _ int) (io.Reader, []byte) {
	return bytes.NewReader(t.fill(legalHeadBytes, shortLine)), []byte("\r\n")
}

// OddLines is a head of legal size with folded lines, lines without a value, control
// characters, repeated names or bare line feeds.
func OddLines(t Target, n int) (io.Reader, []byte) {
	return bytes.NewReader(t.fill(legalHeadBytes, oddLines[n%len(oddLines)])), []byte("\r\n")
}

// LongHeads is a head over the limit, by a little or by far.
func LongHeads(t Target, n int) (io.Reader, []byte) {
	line := shortLine
	if n%2 == 1 {
		line = func(n int) string { return fmt.Sprintf("x-%d: %s\r\n", n, strings.Repeat("y", 200)) }
	}
	return bytes.NewReader(t.fill(legalHeadBytes<<(1+n%5), line)), []byte("\r\n")
}

// EndlessHeads is a head, or a single line of it, that does not end.
func EndlessHeads(t Target, n int) (io.Reader, []byte) {
	switch n % 4 {
	case 0:
		return bytes.NewReader(t.fill(floodBytes, shortLine)), nil
	case 1:
		return flood(t.start()+"x: ", "y"), nil
	case 2:
		return flood("GET /", "y"), nil
	default:
		return flood(t.start(), "y"), nil
	}
}

// EmptyLines is a request that never begins.
func EmptyLines(_ Target, n int) (io.Reader, []byte) {
	return flood("", []string{"\r\n", "\n"}[n%2]), nil
}

// EndlessBodies is a body that does not end.
func EndlessBodies(t Target, n int) (io.Reader, []byte) {
	t.Method = "POST"
	if n%2 == 0 {
		return flood(t.start()+"Content-Type: application/protobuf\r\nContent-Length: 67108864\r\n\r\n", "y"), nil
	}
	return flood(t.start()+"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", "100\r\n"+strings.Repeat("y", 256)+"\r\n"), nil
}

// SlowShapes begins one of the others and goes on slowly.
func SlowShapes(t Target, n int) (io.Reader, []byte) {
	all := []Shape{ShortLines, OddLines, LongHeads, EndlessHeads, EmptyLines, EndlessBodies}
	first, _ := all[n%len(all)](t, n/len(all))
	return &slow{Reader: first, quick: legalHeadBytes - 1024}, nil
}

func flood(start, piece string) io.Reader {
	return strings.NewReader(start + strings.Repeat(piece, (floodBytes-len(start))/len(piece)))
}

// slow passes on a part quickly and then a few bytes at a time.
type slow struct {
	io.Reader
	quick int
}

const (
	slowBytes = 8
	slowPause = 100 * time.Millisecond
	slowParts = 12
)

// Read implements io.Reader.
func (s *slow) Read(p []byte) (int, error) {
	if s.quick > 0 {
		n, err := s.Reader.Read(p[:min(len(p), s.quick)])
		s.quick -= n
		return n, err
	}
	if s.quick <= -slowParts*slowBytes {
		return 0, io.EOF
	}
	time.Sleep(slowPause)
	n, err := s.Reader.Read(p[:min(len(p), slowBytes)])
	s.quick -= slowBytes
	return n, err
}
