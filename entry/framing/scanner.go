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

// maxLinePrefix bounds how much of a header line is kept. Longer names and lengths
// are none of those that are looked for.
const maxLinePrefix = 64

// state is what the next byte belongs to.
type state int

const (
	inHead    state = iota
	inChunk         // the line before a chunk's data, or its end
	inTrailer       // the lines after the last chunk
	desynced        // where the next head begins is not known
)

// scanner follows the requests on one connection and checks their heads.
type scanner struct {
	state             state
	skip              int64  // bytes of body or chunk that come before the next line
	linePrefix        []byte // start of the current line
	lineLength        int    // of the current line so far
	headLines         int    // of the current head, before the current line
	prev              byte
	contentLengths    []string // values of Content-Length
	transferEncodings int      // header lines of Transfer-Encoding
	fault             string   // first fault of the connection
}

func (s *scanner) feed(p []byte) {
	for len(p) > 0 && s.state != desynced && s.fault == "" {
		if s.skip > 0 {
			n := min(s.skip, int64(len(p)))
			s.skip -= n
			p = p[n:]
			continue
		}
		s.scanByte(p[0])
		p = p[1:]
	}
}

func (s *scanner) scanByte(b byte) {
	switch {
	case b == '\n' && s.prev != '\r':
		s.fault = "a line ends in a bare line feed"
	case b == '\n':
		s.endLine()
	case s.prev == '\r':
		s.fault = "a line holds a bare carriage return"
	case s.state == inHead && s.lineLength == 0 && s.headLines > 0 && (b == ' ' || b == '\t'):
		s.fault = "a header line is folded"
	case b != '\r':
		s.lineLength++
		if len(s.linePrefix) < maxLinePrefix {
			s.linePrefix = append(s.linePrefix, b)
		}
	}
	s.prev = b
}

func (s *scanner) endLine() {
	empty := s.lineLength == 0
	switch {
	case s.state == inChunk:
		s.endChunkLine()
	case s.state == inTrailer && empty:
		s.reset()
	case s.state == inHead && empty && s.headLines > 0:
		s.endHead()
	case s.state == inHead && !empty:
		s.parseHeader()
		s.headLines++
	}
	s.linePrefix, s.lineLength = s.linePrefix[:0], 0
}

func (s *scanner) parseHeader() {
	name, value, found := strings.Cut(string(s.linePrefix), ":")
	if s.headLines == 0 || !found {
		return
	}
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		s.contentLengths = append(s.contentLengths, strings.TrimSpace(value))
	case "transfer-encoding":
		s.transferEncodings++
	}
}

func (s *scanner) endHead() {
	switch {
	case len(s.contentLengths) > 0 && s.transferEncodings > 0:
		s.fault = "the head has both Content-Length and Transfer-Encoding"
	case len(s.contentLengths) > 1:
		s.fault = "the head has several Content-Length"
	case s.transferEncodings > 1:
		s.fault = "the head has several Transfer-Encoding"
	case s.transferEncodings == 1:
		s.reset()
		s.state = inChunk
	default:
		s.skipBody()
	}
}

// skipBody skips a body of a given length. The library refuses a length that is no
// number, and closes the connection.
func (s *scanner) skipBody() {
	n, err := int64(0), error(nil)
	if len(s.contentLengths) == 1 {
		n, err = strconv.ParseInt(s.contentLengths[0], 10, 64)
	}
	s.reset()
	s.skip = n
	if err != nil || n < 0 {
		s.state, s.skip = desynced, 0
	}
}

// endChunkLine reads the line before a chunk's data. The empty line that ends the data
// of the one before is no such line.
func (s *scanner) endChunkLine() {
	if s.lineLength == 0 {
		return
	}
	size, _, _ := strings.Cut(string(s.linePrefix), ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		s.state = desynced
	case n == 0:
		s.state = inTrailer
	default:
		s.skip = n
	}
}

// reset begins another head.
func (s *scanner) reset() { *s = scanner{linePrefix: s.linePrefix[:0], fault: s.fault} }
