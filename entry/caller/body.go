package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// lingerTimeout bounds the time for which the rest of an unwanted body is read.
const lingerTimeout = time.Second

var errBodyTooLarge = errors.New("request body is larger than the limit")

// body is a request body. A prefix of it, or all of a small body, is buffered
// so that it can be sent again. Reading is bounded by the time without
// progress, not by the total time.
type body struct {
	call     *call
	limits   Limits
	maxBytes int64
	length   int64 // -1 if unknown
	prefix   []byte
	complete bool // prefix is the whole body
	streamed bool // the rest has been read by an attempt

	mu              sync.Mutex
	bytesRead       int64 // from the caller
	readAtDeadline  int64 // bytesRead when the read deadline was last extended
	ended           bool  // the whole body has been read
	hasReadDeadline bool  // on the caller's connection
	interrupted     bool
}

func newBody(c *call, maxBytes int64, limits Limits) *body {
	b := &body{call: c, limits: limits, maxBytes: maxBytes, length: c.r.ContentLength, readAtDeadline: -int64(limits.ProgressBytes)}
	if c.r.Body == nil || c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		b.length, b.complete, b.ended = 0, true, true
		return b
	}
	c.ctx.suspend()
	return b
}

// buffer reads the prefix of the body into memory: all of a small body of known
// length, and up to BufferBytes of any other body if always is set.
func (b *body) buffer(always bool) error {
	if b.complete {
		return nil
	}
	small := b.length >= 0 && b.length <= b.limits.BufferBytes
	if !small && !always {
		return nil
	}
	defer context.AfterFunc(b.call.ctx, b.interrupt)()
	var prefix bytes.Buffer
	if small {
		prefix.Grow(int(b.length))
	}
	_, err := io.CopyN(&prefix, callerReader{b}, b.limits.BufferBytes)
	b.prefix = prefix.Bytes()
	if errors.Is(err, io.EOF) {
		b.complete, b.length = true, int64(len(b.prefix))
		return nil
	}
	if err == nil && b.length == int64(len(b.prefix)) {
		b.complete = true
		b.finish()
	}
	return err
}

// replayable reports whether the body can be sent from its first byte.
func (b *body) replayable() bool { return b.complete || !b.streamed }

// open returns a reader of the body from its first byte.
func (b *body) open() io.ReadCloser {
	if b.complete && len(b.prefix) == 0 {
		return http.NoBody
	}
	if b.complete {
		return io.NopCloser(bytes.NewReader(b.prefix))
	}
	return &bodyReader{body: b, prefix: b.prefix}
}

// bodyReader reads the buffered prefix and then from the caller.
type bodyReader struct {
	body   *body
	prefix []byte
	closed bool
}

// Read reads the body.
func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.begin() {
		return 0, http.ErrBodyReadAfterClose
	}
	if len(r.prefix) > 0 {
		n := copy(p, r.prefix)
		r.prefix = r.prefix[n:]
		return n, nil
	}
	return callerReader{r.body}.Read(p)
}

// begin marks the body as streamed, and reports false if the reader is closed.
func (r *bodyReader) begin() bool {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.closed {
		return false
	}
	r.body.streamed = true
	return true
}

// Close interrupts a read that waits for the caller, unless the body has ended. A
// body of which nothing was read can still be read by another attempt.
func (r *bodyReader) Close() error {
	r.body.mu.Lock()
	r.closed = true
	streamed := r.body.streamed
	r.body.mu.Unlock()
	if streamed {
		r.body.interrupt()
	}
	return nil
}

// callerReader reads from the caller within the limits on size and progress.
type callerReader struct{ body *body }

// Read reads from the caller.
func (r callerReader) Read(p []byte) (int, error) {
	b := r.body
	if err := b.extendReadDeadline(); err != nil {
		return 0, err
	}
	n, err := b.call.r.Body.Read(p)
	b.mu.Lock()
	b.bytesRead += int64(n)
	tooLarge := b.bytesRead > b.maxBytes
	b.mu.Unlock()
	if b.call.backlogEntry != nil {
		b.call.backlogEntry.AddBodyBytes(n, b.call.rule.Contract().Bulk())
	}
	if tooLarge {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.finish()
	} else if err != nil {
		b.interrupt()
	}
	return n, err
}

// extendReadDeadline extends the read deadline of the caller's connection if
// at least ProgressBytes have been read since it was last extended.
func (b *body) extendReadDeadline() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interrupted {
		return http.ErrBodyReadAfterClose
	}
	if b.bytesRead-b.readAtDeadline < int64(b.limits.ProgressBytes) {
		return nil
	}
	b.readAtDeadline, b.hasReadDeadline = b.bytesRead, true
	return ignoreUnsupported(b.call.controller.SetReadDeadline(time.Now().Add(b.limits.ProgressTimeout)))
}

// finish marks the body as read. It clears the read deadline of the caller's
// connection, since the server goes on reading from it to detect a disconnect
// while the request is handled.
func (b *body) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.call.ctx.start()
	if b.hasReadDeadline && !b.interrupted {
		// An error means that the connection has failed already.
		_ = b.call.controller.SetReadDeadline(time.Time{})
	}
	if b.call.backlogEntry != nil {
		b.call.backlogEntry.Sent(time.Now())
	}
}

// interrupt ends a pending read. The caller's connection cannot be reused.
func (b *body) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.interrupted {
		return
	}
	b.interrupted = true
	_ = b.call.controller.SetReadDeadline(time.Unix(1, 0))
}

// cutShort reports whether reading from the caller was interrupted before the end of the body.
func (b *body) cutShort() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.interrupted
}

// end is called when the request is over. The server reads the rest of an
// unread body, or a part of it, before it closes the connection: closing it with
// bytes to read resets it, and the response may be lost. lingerTimeout bounds how
// long that takes.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.interrupted && b.call.ctx.cause() != errHostStopping {
		return
	}
	_ = b.call.controller.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// bodyProblem returns the outcome of a request whose body could not be read.
func (c *call) bodyProblem(kind outcome.Kind, err error) *outcome.Problem {
	if errors.Is(err, errBodyTooLarge) {
		return outcome.New(kind, outcome.BodyTooLarge, err.Error())
	}
	switch c.ctx.cause() {
	case errDeadline:
		return outcome.New(kind, outcome.DeadlineExceeded, "request body not received before the deadline")
	case errHostStopping:
		return c.problem(kind, outcome.UpstreamLost, "request body not received")
	}
	return outcome.New(kind, outcome.BodyCut, "request body is incomplete: "+err.Error())
}
