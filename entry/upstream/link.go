package upstream

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/link"
)

const (
	maxHeadBytes     = 256 << 10 // of an answer, interim ones included
	writeBufferBytes = 16 << 10
)

var errHeadTooLarge = errors.New("the head of the answer is too large")

// Link is one connection to an instance.
type Link struct {
	conn      net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	openedAt  time.Time
	idleSince time.Time
	written   atomic.Int64
	progress  time.Duration // bound on a write or read without a byte
	headLeft  int           // bytes that the head of an answer may still take
	inHead    bool
	heard     bool // a byte of the current answer has come
	reused    bool
	silent    atomic.Bool // closed for want of a sign of life
}

func newLink(conn net.Conn, progress time.Duration) *Link {
	l := &Link{conn: conn, openedAt: time.Now(), progress: progress}
	l.reader = bufio.NewReader(l)
	l.writer = bufio.NewWriterSize(l, writeBufferBytes)
	return l
}

// Write sends bytes, counts them and bounds the time without progress.
func (l *Link) Write(p []byte) (int, error) {
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.progress)); err != nil {
		return 0, err
	}
	n, err := l.conn.Write(p)
	l.written.Add(int64(n))
	return n, err
}

// Read receives bytes. The head of an answer is bounded in size, its body in
// the time without progress.
func (l *Link) Read(p []byte) (int, error) {
	if l.inHead {
		return l.readHead(p)
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(l.progress)); err != nil {
		return 0, err
	}
	return l.conn.Read(p)
}

func (l *Link) readHead(p []byte) (int, error) {
	if l.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p)
	l.headLeft -= n
	l.heard = l.heard || n > 0
	return n, err
}

// beginHead prepares the link for the head of the next answer, for which the
// deadline of the request is the only bound of time.
func (l *Link) beginHead() error {
	l.inHead, l.headLeft, l.heard = true, maxHeadBytes, l.reader.Buffered() > 0
	return l.conn.SetReadDeadline(time.Time{})
}

// usable reports whether an idle link may carry another request.
func (l *Link) usable(now time.Time, idleLimit time.Duration) bool {
	return now.Sub(l.idleSince) <= idleLimit && l.reader.Buffered() == 0 && link.Quiet(l.conn)
}

func (l *Link) close() { _ = l.conn.Close() }

func isClosed(err error) bool {
	for _, one := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}
