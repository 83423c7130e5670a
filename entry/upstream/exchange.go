package upstream

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounds of an exchange.
const (
	maxInform        = 16       // interim answers before the final one
	maxStrayBytes    = 1 << 20  // of an answer to another request that is read over
	maxInlineBytes   = 16 << 10 // bodies that are written before the answer is awaited
	anyIdle          = time.Duration(math.MaxInt64)
	retirementMargin = time.Second // siblings opened this much later are retired too
)

var (
	errUnframed = errors.New("the end of the answer cannot be told from a cut")
	errStray    = errors.New("the link holds the answer to another request")
	errInform   = errors.New("unexpected or too many interim answers")
)

// Exchange is one request and its answer on one link.
type Exchange struct {
	links    *links
	link     *Link
	request  *http.Request
	response *http.Response
	body     *markedBody
	sent     chan error // nil once the whole request is known to be sent
	stop     func() bool
	inform   func(code int, header http.Header)
	header   string // that repeats the request's identity on its answer
	identity string
	unframed bool // answers may end with their link
	maxIdle  time.Duration
	strays   int
	whole    bool // the answer was read to its end
	closed   atomic.Bool
}

// SendOption changes how one request is sent.
type SendOption func(*Exchange)

// WithInterimHandler sets who is told of interim answers.
func WithInterimHandler(inform func(code int, header http.Header)) SendOption {
	return func(e *Exchange) { e.inform = inform }
}

// WithIdentity passes over answers that repeat another identity in a header: a
// late answer to an earlier request on the link.
func WithIdentity(header, identity string) SendOption {
	return func(e *Exchange) { e.header, e.identity = header, identity }
}

// WithCloseDelimited takes an answer without a length that ends with its link, which
// is whole unless the link was reset.
func WithCloseDelimited() SendOption { return func(e *Exchange) { e.unframed = true } }

// WithMaxIdle allows only links that were used within a time, 0 for new ones.
func WithMaxIdle(d time.Duration) SendOption { return func(e *Exchange) { e.maxIdle = d } }

// Send writes a request and reads the head of its answer. A body is written
// while the answer is awaited; closing the body must end a read that waits.
func (p *Pool) Send(ctx context.Context, address string, req *http.Request, opts ...SendOption) (*Exchange, error) {
	e := &Exchange{request: req, maxIdle: anyIdle}
	for _, opt := range opts {
		opt(e)
	}
	l, all, err := p.open(ctx, address, e.maxIdle)
	if err != nil {
		return nil, err
	}
	e.link, e.links = l, all
	before := l.written.Load()
	e.stop = context.AfterFunc(ctx, l.close)
	if err := e.exchange(); err != nil {
		return nil, e.fail(ctx, address, err, l.written.Load() > before)
	}
	return e, nil
}

func (e *Exchange) exchange() error {
	if err := e.link.beginHead(); err != nil {
		return err
	}
	body := e.request.Body
	inline := body == nil || body == http.NoBody
	if !inline {
		e.body = &markedBody{ReadCloser: body}
		e.request.Body = e.body
		inline = e.request.ContentLength > 0 && e.request.ContentLength <= maxInlineBytes
	}
	if !inline {
		e.sent = make(chan error, 1)
		go e.upload()
		return e.readHead()
	}
	if err := e.write(); err != nil {
		return e.answerOr(err)
	}
	return e.readHead()
}

// upload sends the request while the answer is awaited. An answer can follow
// a link that the instance closed for writing, but not a cut body or silence.
func (e *Exchange) upload() {
	err := e.write()
	// Told first: whoever sees the link closed then finds the cause.
	e.sent <- err
	if cause := causeOf(err); err != nil && (cause == Body || cause == Silent) {
		e.link.close()
	}
}

// answerOr reads an answer that came although the request could not be sent
// whole, else returns the error of sending.
func (e *Exchange) answerOr(sendErr error) error {
	var body bodyError
	if errors.As(sendErr, &body) || e.readHead() != nil {
		return sendErr
	}
	e.response.Close = true
	return nil
}

func (e *Exchange) write() error {
	err := e.request.Write(e.link.writer)
	if err != nil && e.body != nil && e.body.err != nil {
		return bodyError{e.body.err}
	}
	if err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(e.link.writer.Flush(), "write request")
}

func (e *Exchange) readHead() error {
	for range maxInform {
		response, err := http.ReadResponse(e.link.reader, e.request)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if response.StatusCode >= http.StatusOK && e.stray(response) {
			if err := e.skip(response); err != nil {
				return err
			}
			continue
		}
		if response.StatusCode >= http.StatusOK {
			e.response = response
			e.link.inHead = false
			return e.framed(response)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return errInform
		}
		if e.inform != nil && response.StatusCode != http.StatusContinue {
			e.inform(response.StatusCode, response.Header)
		}
	}
	return errInform
}

// stray reports whether an answer belongs to another request.
func (e *Exchange) stray(response *http.Response) bool {
	if e.header == "" {
		return false
	}
	got := response.Header.Get(e.header)
	return got != "" && got != e.identity
}

// skip reads an answer that belongs to another request to its end. The link is
// not used again.
func (e *Exchange) skip(response *http.Response) error {
	if framedBody := response.ContentLength >= 0 || len(response.TransferEncoding) > 0; !framedBody || response.Close {
		return errStray
	}
	e.strays++
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
		return errors.Wrap(err, "read the answer to another request")
	}
	return nil
}

// framed refuses a body that ends with the link, since its end cannot be told
// from a cut.
func (e *Exchange) framed(response *http.Response) error {
	if e.strays > 0 {
		response.Close = true
	}
	if e.unframed {
		return nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return errUnframed
	}
	return nil
}

func (e *Exchange) fail(ctx context.Context, address string, err error, wrote bool) *Failure {
	sent := e.abort()
	if sent != nil && (causeOf(sent) == Body || causeOf(sent) == Silent) {
		err = sent
	}
	cause := causeOf(err)
	switch {
	case e.link.silent.Load():
		cause = Silent
	case cause == Body:
	case ctx.Err() != nil:
		cause = Cancelled
	case cause == Closed && e.link.reused && !e.link.heard:
		cause = Stale
	}
	if cause == Silent {
		e.links.retire(e.link.openedAt.Add(retirementMargin))
	}
	return &Failure{cause: cause, err: err, wrote: wrote, address: address}
}

// abort closes the link and waits for the writer, whose error it returns.
func (e *Exchange) abort() error {
	e.stop()
	e.link.close()
	e.links.drop(e.link)
	if e.sent == nil {
		return nil
	}
	select {
	case err := <-e.sent:
		return err
	default:
	}
	// A writer that waits for the caller's next bytes ends with the body.
	_ = e.request.Body.Close()
	<-e.sent
	return nil
}

// Response returns the answer's head.
func (e *Exchange) Response() *http.Response { return e.response }

// Read reads the answer's body. Any error but io.EOF means that it was cut.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		e.whole = true
		return n, io.EOF
	}
	if err != nil && causeOf(err) == Silent {
		e.links.retire(e.link.openedAt.Add(retirementMargin))
	}
	return n, err
}

// Uploading reports whether the request is still being sent.
func (e *Exchange) Uploading() bool { return e.sent != nil && len(e.sent) == 0 }

// Close ends the exchange. The link is kept only if the whole request was
// sent and the whole answer was read.
func (e *Exchange) Close() {
	if e.closed.Swap(true) {
		return
	}
	if !e.reusable() || !e.stop() {
		// The answer is known; how the rest of the request fared is not asked.
		_ = e.abort()
		return
	}
	e.links.give(e.link)
}

func (e *Exchange) reusable() bool {
	if !e.whole && e.response.Body != http.NoBody || e.response.Close || e.link.reader.Buffered() > 0 {
		return false
	}
	if e.sent == nil {
		return true
	}
	select {
	case err := <-e.sent:
		e.sent <- err
		return err == nil
	default:
		return false
	}
}

// markedBody remembers an error of the body, which the writer of a request
// does not tell from one of the link.
type markedBody struct {
	io.ReadCloser
	err error
}

// Read reads the body.
func (b *markedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}
