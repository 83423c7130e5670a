package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/outcome"
)

// lingerLimit bounds the reading of what is left of a body that is not wanted.
const lingerLimit = time.Second

var errBodyTooLarge = errors.New("the body is larger than the rule allows")

// body is a request's body. Its start is kept in memory, and all of it if it
// is small, so that it can be sent again. It is read with a bound on the time
// without progress, not on the whole time.
type body struct {
	call     *call
	limits   Limits
	most     int64
	length   int64 // -1 if not known
	start    []byte
	whole    bool // start is the whole body
	streamed bool // the rest has been handed out

	mu        sync.Mutex
	read      int64 // from the caller
	allowed   int64 // bytes read when time was last given
	ended     bool  // everything was read, or nothing more will be
	bounded   bool  // the caller's link has a read deadline
	interrupt bool
}

func newBody(c *call, most int64, limits Limits) *body {
	b := &body{call: c, limits: limits, most: most, length: c.r.ContentLength, allowed: -int64(limits.ProgressBytes)}
	if c.r.Body == nil || c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		b.length, b.whole, b.ended = 0, true, true
		return b
	}
	c.clock.await()
	return b
}

// buffer reads the body's start: all of a small body of known length, and as
// much of any other as is asked for.
func (b *body) buffer(always bool) error {
	if b.whole {
		return nil
	}
	small := b.length >= 0 && b.length <= b.limits.BufferBytes
	if !small && !always {
		return nil
	}
	var start bytes.Buffer
	if small {
		start.Grow(int(b.length))
	}
	_, err := io.CopyN(&start, source{b}, b.limits.BufferBytes)
	b.start = start.Bytes()
	if errors.Is(err, io.EOF) {
		b.whole, b.length = true, int64(len(b.start))
		return nil
	}
	if err == nil && b.length == int64(len(b.start)) {
		b.whole = true
		b.finish()
	}
	return err
}

// replayable reports whether the body can be sent from its start.
func (b *body) replayable() bool { return b.whole || !b.streamed }

// open returns the body from its start.
func (b *body) open() io.ReadCloser {
	if b.whole && len(b.start) == 0 {
		return http.NoBody
	}
	if b.whole {
		return io.NopCloser(bytes.NewReader(b.start))
	}
	return &stream{body: b, start: b.start}
}

// stream hands out the body's start and then what comes from the caller.
type stream struct {
	body  *body
	start []byte
}

// Read reads the body.
func (s *stream) Read(p []byte) (int, error) {
	s.body.streamed = true
	if len(s.start) > 0 {
		n := copy(p, s.start)
		s.start = s.start[n:]
		return n, nil
	}
	return source{s.body}.Read(p)
}

// Close ends a read that waits for the caller, unless the body has ended.
func (s *stream) Close() error {
	s.body.stop()
	return nil
}

// source reads from the caller within the bounds.
type source struct{ body *body }

// Read reads from the caller.
func (s source) Read(p []byte) (int, error) {
	b := s.body
	if err := b.allow(); err != nil {
		return 0, err
	}
	n, err := b.call.r.Body.Read(p)
	b.mu.Lock()
	b.read += int64(n)
	tooLarge := b.read > b.most
	b.mu.Unlock()
	if b.call.stay != nil {
		b.call.stay.Carried(n, b.call.rule.Contract().Bulk())
	}
	if tooLarge {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.finish()
	} else if err != nil {
		b.stop()
	}
	return n, err
}

// allow gives the caller time for the next bytes, if enough came since it was
// last given.
func (b *body) allow() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interrupt {
		return http.ErrBodyReadAfterClose
	}
	if b.read-b.allowed < int64(b.limits.ProgressBytes) {
		return nil
	}
	b.allowed, b.bounded = b.read, true
	return ignoreUnsupported(b.call.control.SetReadDeadline(time.Now().Add(b.limits.ProgressTimeout)))
}

// finish takes the bound off the caller's link, which the server watches
// while the request is handled.
func (b *body) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.call.clock.begin()
	if b.bounded && !b.interrupt {
		// The link has failed already if this does.
		_ = b.call.control.SetReadDeadline(time.Time{})
	}
	if b.call.stay != nil {
		b.call.stay.Sent(time.Now())
	}
}

// stop ends a read that waits. The caller's link cannot be used again.
func (b *body) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.interrupt {
		return
	}
	b.interrupt = true
	_ = b.call.control.SetReadDeadline(time.Unix(1, 0))
}

// end is called when the request is over. The server reads the rest of a body
// before it answers, which must not take long.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && !b.interrupt {
		_ = b.call.control.SetReadDeadline(time.Now().Add(lingerLimit))
	}
}

func ignoreUnsupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// bodyProblem is the outcome of a request whose body could not be read.
func (c *call) bodyProblem(kind outcome.Kind, err error) *outcome.Problem {
	if errors.Is(err, errBodyTooLarge) {
		return outcome.New(kind, outcome.BodyTooLarge, err.Error())
	}
	if c.clock.cause() == errDeadline {
		return outcome.New(kind, outcome.DeadlineExceeded, "the body did not come in time")
	}
	return outcome.New(kind, outcome.BodyCut, "the body did not come whole: "+err.Error())
}
