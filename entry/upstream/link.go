package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/link"
)

const (
	writeBufferBytes = 16 << 10
	// heldUpAfter is the time without an acknowledgement after which bytes may be held up.
	heldUpAfter   = 100 * time.Millisecond
	progressBytes = 1 << 10 // that count as progress within one read of a body
	// maxHeaderLines bounds what a header takes in memory, which is a multiple of its bytes if its
	// lines are short.
	maxHeaderLines = 256
)

var errHeaderTooLarge = errors.New("too many bytes before the end of the response header")

// Link is a persistent connection to an instance.
type Link struct {
	conn            net.Conn
	reader          *bufio.Reader
	writer          *bufio.Writer
	openedAt        time.Time
	idleSince       time.Time
	written         atomic.Int64
	pace            *pacer        // nil for none
	progress        time.Duration // limit on a write that transfers no byte, and on a read of a body without progress
	bytesRead       int           // of a body since the read deadline was last set
	maxHeaderBytes  int           // of a response header, including interim responses
	headerBytesLeft int           // bytes that may still precede the body of the current response
	headerLinesLeft int
	inHeaderLine    bool // the last piece of a header ended within a line
	inHeader        bool
	responseStarted bool // a byte of the current response was received
	reused          bool
	identity        string        // of the last request
	reusedAfter     time.Duration // idle time before the current request, if reused
	silent          atomic.Bool   // closed because it exceeded the silent limit
	writing         sync.Mutex    // held during a write and until its error is recorded
	broken          error         // of a write that found the connection broken
}

func newLink(conn net.Conn, progress time.Duration, maxHeaderBytes int) *Link {
	l := &Link{conn: conn, openedAt: time.Now(), progress: progress, maxHeaderBytes: maxHeaderBytes}
	l.reader = bufio.NewReader(l)
	l.writer = bufio.NewWriterSize(l, writeBufferBytes)
	return l
}

// Write implements io.Writer. It sends large writes at the pace of the pool.
func (l *Link) Write(p []byte) (int, error) {
	if l.pace == nil || len(p) <= paceChunk {
		return l.write(p)
	}
	written := 0
	for written < len(p) {
		piece := p[written:min(written+paceChunk, len(p))]
		l.pace.wait(len(piece))
		n, err := l.write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// write counts the bytes written and sets a deadline for progress.
func (l *Link) write(p []byte) (int, error) {
	l.writing.Lock()
	defer l.writing.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.progress)); err != nil {
		return 0, err
	}
	n, err := l.conn.Write(p)
	l.written.Add(int64(n))
	if isBroken(err) {
		l.broken = err
	}
	return n, err
}

// isBroken reports whether the error of a write means that the connection ended before the
// peer had finished sending. A socket reports its error once, and a read after that finds the
// end of the data. EPIPE is reported if the peer had finished.
func isBroken(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// endOfData closes a link at which a read found the end of the data, and returns an error if it
// was not the peer that ended them. The close ends a write that waits for the peer.
func (l *Link) endOfData() error {
	l.abort()
	l.writing.Lock()
	defer l.writing.Unlock()
	return errors.Wrap(l.broken, "read response")
}

// Read implements io.Reader. A response header is limited in size; a body has a
// deadline for progress.
func (l *Link) Read(p []byte) (int, error) {
	if l.inHeader {
		return l.readHeader(p)
	}
	if l.bytesRead >= progressBytes {
		l.beginBodyRead()
	}
	n, err := l.conn.Read(p)
	l.bytesRead += n
	return n, err
}

// beginBodyRead sets the deadline for progress of the next read of a body.
func (l *Link) beginBodyRead() {
	l.bytesRead = 0
	// An error means that the link is closed, which the read reports.
	_ = l.conn.SetReadDeadline(time.Now().Add(l.progress))
}

func (l *Link) readHeader(p []byte) (int, error) {
	if l.headerBytesLeft <= 0 || l.headerLinesLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.conn.Read(p)
	l.headerBytesLeft -= n
	l.countHeaderLines(p[:n])
	l.responseStarted = l.responseStarted || n > 0
	return n, err
}

// countHeaderLines counts the lines in a piece of a header up to its end, where a body or, after an
// interim response, another header may begin.
func (l *Link) countHeaderLines(piece []byte) {
	for {
		end := bytes.IndexByte(piece, '\n')
		if end < 0 {
			l.inHeaderLine = l.inHeaderLine || len(bytes.Trim(piece, "\r")) > 0
			return
		}
		empty := !l.inHeaderLine && len(bytes.Trim(piece[:end], "\r")) == 0
		l.inHeaderLine = false
		if empty {
			return
		}
		l.headerLinesLeft--
		piece = piece[end+1:]
	}
}

// beginHeader prepares the link for the header of the next response. No read
// deadline applies to it except that of the request's context.
func (l *Link) beginHeader() error {
	l.inHeader, l.headerBytesLeft, l.headerLinesLeft, l.inHeaderLine, l.responseStarted = true, l.maxHeaderBytes, maxHeaderLines, false, l.reader.Buffered() > 0
	return l.conn.SetReadDeadline(time.Time{})
}

// usable reports whether an idle link can be reused.
func (l *Link) usable(now time.Time, idleLimit time.Duration) bool {
	return now.Sub(l.idleSince) <= idleLimit && l.reader.Buffered() == 0 && link.Reusable(l.conn)
}

func (l *Link) close() { _ = l.conn.Close() }

// abort closes a link in use. If the instance has acknowledged nothing lately, what it has not
// received yet is discarded: after a network partition it would otherwise get requests whose
// outcome was decided long before.
func (l *Link) abort() {
	if link.SilentFor(l.conn) >= heldUpAfter {
		link.Reset(l.conn)
		return
	}
	l.close()
}

func isClosed(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
