package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id, method, host, target string
	body                     []byte
	chunked                  bool
	deadline                 time.Duration
	header                   []string

	entry     string
	sent      time.Time
	ended     time.Time
	status    int
	signature string
	answer    []byte
	answerID  string
	complete  bool
	err       error
	kept      bool // on a connection that carried another request before
	extra     bool // bytes came after the answer
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connection is one connection of a client.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	entry  string
	used   int
	close  bool
}

func dialEntry(entry string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn), entry: entry}, nil
}

func (a *attempt) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", a.method, a.target, a.host, a.id, a.deadline.Milliseconds())
	for _, line := range a.header {
		b.WriteString(line + "\r\n")
	}
	switch {
	case a.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := a.body; len(rest) > 0; {
			n := min(len(rest), 4096)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
	case len(a.body) > 0 || a.method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// do sends the attempt and reads its answer.
func (c *connection) do(a *attempt) {
	a.entry, a.sent, a.kept = c.entry, time.Now(), c.used > 0
	c.used++
	defer func() { a.ended = time.Now() }()
	_ = c.conn.SetDeadline(time.Now().Add(a.deadline))
	go func(text []byte) { _, _ = c.conn.Write(text) }(a.text())
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		a.err, c.close = err, true
		return
	}
	a.status, a.signature, a.answerID = response.StatusCode, response.Header.Get("Response-Signature"), response.Header.Get("Request-Id")
	a.answer, err = io.ReadAll(response.Body)
	a.complete = err == nil
	a.err = err
	if err != nil || response.Close {
		c.close = true
	}
	if c.reader.Buffered() > 0 {
		a.extra, c.close = true, true
	}
}

// pool keeps connections of clients to one entry host.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*connection
}

func (p *pool) get(entry string) (*connection, error) {
	p.mu.Lock()
	if all := p.idle[entry]; len(all) > 0 {
		c := all[len(all)-1]
		p.idle[entry] = all[:len(all)-1]
		p.mu.Unlock()
		// a connection that the entry host has closed is not used
		_ = c.conn.SetReadDeadline(time.Now().Add(200 * time.Microsecond))
		if _, err := c.reader.Peek(1); err == nil || !strings.Contains(err.Error(), "timeout") {
			_ = c.conn.Close()
			return p.get(entry)
		}
		return c, nil
	}
	p.mu.Unlock()
	return dialEntry(entry)
}

func (p *pool) put(c *connection) {
	if c.close {
		_ = c.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*connection{}
	}
	p.idle[c.entry] = append(p.idle[c.entry], c)
}

// send sends an attempt on a pooled connection.
func (p *pool) send(entry string, a *attempt) {
	c, err := p.get(entry)
	if err != nil {
		a.entry, a.sent, a.ended, a.err = entry, time.Now(), time.Now(), err
		return
	}
	c.do(a)
	p.put(c)
}
