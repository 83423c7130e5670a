package framing

import (
	"net"
	"strconv"
	"strings"
	"sync"
)

// conn watches what is read from a connection.
type conn struct {
	net.Conn
	mu      sync.Mutex
	scanner scanner
}

// Read reads and watches.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.feed(p[:n])
	return n, err
}

// fault returns what was ambiguous, empty for nothing.
func (c *conn) fault() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.fault
}

// maxLine bounds how much of a header line is kept. Longer names and lengths
// are none of those that are looked for.
const maxLine = 64

// state is what the next byte belongs to.
type state int

const (
	inHead    state = iota
	inChunk         // the line before a chunk's data, or its end
	inTrailer       // the lines after the last chunk
	lost            // where the next head begins is not known
)

// scanner follows the requests on one connection and checks their heads.
type scanner struct {
	state   state
	skip    int64  // bytes of body or chunk that come before the next line
	line    []byte // start of the current line
	length  int    // of the current line so far
	lines   int    // of the current head, before the current line
	last    byte
	lengths []string // values of Content-Length
	codings int      // header lines of Transfer-Encoding
	fault   string   // first fault of the connection
}

func (s *scanner) feed(p []byte) {
	for len(p) > 0 && s.state != lost && s.fault == "" {
		if s.skip > 0 {
			n := min(s.skip, int64(len(p)))
			s.skip -= n
			p = p[n:]
			continue
		}
		s.take(p[0])
		p = p[1:]
	}
}

func (s *scanner) take(b byte) {
	switch {
	case b == '\n' && s.last != '\r':
		s.fault = "a line ends in a bare line feed"
	case b == '\n':
		s.endLine()
	case s.last == '\r':
		s.fault = "a line holds a bare carriage return"
	case s.state == inHead && s.length == 0 && s.lines > 0 && (b == ' ' || b == '\t'):
		s.fault = "a header line is folded"
	case b != '\r':
		s.length++
		if len(s.line) < maxLine {
			s.line = append(s.line, b)
		}
	}
	s.last = b
}

func (s *scanner) endLine() {
	empty := s.length == 0
	switch {
	case s.state == inChunk:
		s.chunk()
	case s.state == inTrailer && empty:
		s.next()
	case s.state == inHead && empty && s.lines > 0:
		s.endHead()
	case s.state == inHead && !empty:
		s.header()
		s.lines++
	}
	s.line, s.length = s.line[:0], 0
}

func (s *scanner) header() {
	name, value, found := strings.Cut(string(s.line), ":")
	if s.lines == 0 || !found {
		return
	}
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		s.lengths = append(s.lengths, strings.TrimSpace(value))
	case "transfer-encoding":
		s.codings++
	}
}

func (s *scanner) endHead() {
	switch {
	case len(s.lengths) > 0 && s.codings > 0:
		s.fault = "the head has both Content-Length and Transfer-Encoding"
	case len(s.lengths) > 1:
		s.fault = "the head has several Content-Length"
	case s.codings > 1:
		s.fault = "the head has several Transfer-Encoding"
	case s.codings == 1:
		s.next()
		s.state = inChunk
	default:
		s.body()
	}
}

// body skips a body of a given length. The library refuses a length that is no
// number, and closes the connection.
func (s *scanner) body() {
	n, err := int64(0), error(nil)
	if len(s.lengths) == 1 {
		n, err = strconv.ParseInt(s.lengths[0], 10, 64)
	}
	s.next()
	s.skip = n
	if err != nil || n < 0 {
		s.state, s.skip = lost, 0
	}
}

// chunk reads the line before a chunk's data. The empty line that ends the data
// of the one before is no such line.
func (s *scanner) chunk() {
	if s.length == 0 {
		return
	}
	size, _, _ := strings.Cut(string(s.line), ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		s.state = lost
	case n == 0:
		s.state = inTrailer
	default:
		s.skip = n
	}
}

// next begins another head.
func (s *scanner) next() { *s = scanner{line: s.line[:0], fault: s.fault} }
