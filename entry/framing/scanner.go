package framing

import (
	"net"
	"strconv"
	"strings"
	"sync"
)

// conn scans the bytes read from a connection.
type conn struct {
	net.Conn
	mu      sync.Mutex
	scanner scanner
}

// NetConn returns the connection without the scanner.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and scans the bytes read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.feed(p[:n])
	return n, err
}

// fault describes the first ambiguity found, and is empty if there is none.
func (c *conn) fault() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.fault
}

// maxLinePrefix bounds the bytes kept of each line. The header names and lengths
// that the scanner checks are shorter.
const maxLinePrefix = 64

// state is the part of a message that the next byte belongs to.
type state int

const (
	inHead    state = iota
	inChunk         // the line with a chunk's size, or the end of its data
	inTrailer       // the trailer section after the last chunk
	desynced        // the start of the next head is unknown
)

// scanner parses the framing of the requests on one connection and checks their
// heads.
type scanner struct {
	state             state
	skip              int64  // bytes of a body or chunk left before the next line
	linePrefix        []byte // first bytes of the current line
	lineLength        int    // bytes of the current line so far
	headLines         int    // complete lines of the current head
	prev              byte
	contentLengths    []string // values of Content-Length
	transferEncodings int      // number of Transfer-Encoding headers
	fault             string   // first ambiguity found on the connection
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
		s.fault = "a line contains a bare carriage return"
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
		s.fault = "the head has several Content-Length headers"
	case s.transferEncodings > 1:
		s.fault = "the head has several Transfer-Encoding headers"
	case s.transferEncodings == 1:
		s.reset()
		s.state = inChunk
	default:
		s.skipBody()
	}
}

// skipBody skips a body whose length is given by Content-Length. The HTTP
// library rejects an invalid length and closes the connection.
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

// endChunkLine parses the line with a chunk's size. It ignores the empty line
// that ends the data of the previous chunk.
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

// reset prepares the scanner for the next head.
func (s *scanner) reset() { *s = scanner{linePrefix: s.linePrefix[:0], fault: s.fault} }
