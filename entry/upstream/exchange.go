package upstream

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits of an exchange.
const (
	maxInlineBytes   = 16 << 10 // larger bodies are written while the response is awaited
	unlimitedIdle    = time.Duration(math.MaxInt64)
	retirementMargin = time.Second // links opened up to this long after a silent one are retired with it
)

var errWithdrawn = errors.New("the instance left before the request was sent")

// Exchange is one request and its response on one link.
type Exchange struct {
	pool           *Pool
	links          *instanceLinks
	link           *Link
	request        *http.Request
	response       *http.Response
	body           *requestBody
	sent           chan error // result of the upload; nil channel if the request was written inline
	stop           func() bool
	onInterim      func(code int, header http.Header)
	identityHeader string // response header that echoes the identity of the request
	identity       string
	validate       func(*http.Response) error // of the final response, nil for none
	closeDelimited bool                       // accept responses that end when their link is closed
	endsWithLink   bool                       // the response is such a one
	maxIdle        time.Duration
	usable         func() bool // nil: the instance is
	mismatched     int
	complete       bool // the response body was read to its end
	closed         atomic.Bool
}

// SendOption configures one request.
type SendOption func(*Exchange)

// WithInterimHandler sets a function that is called for each interim (1xx)
// response except 100 Continue.
func WithInterimHandler(handler func(code int, header http.Header)) SendOption {
	return func(e *Exchange) { e.onInterim = handler }
}

// WithIdentity accepts only a response that echoes the identity in the given header.
// Responses that echo another one, such as a late response to an earlier request on
// the same link, are discarded, and Send fails at one that echoes none. Of interim
// responses only those that echo it are handled.
func WithIdentity(header, identity string) SendOption {
	return func(e *Exchange) { e.identityHeader, e.identity = header, identity }
}

// WithValidation makes Send fail as Malformed if validate returns an error for the header of the
// final response.
func WithValidation(validate func(response *http.Response) error) SendOption {
	return func(e *Exchange) { e.validate = validate }
}

// WithCloseDelimited accepts a response without a length whose body ends when
// the link is closed. It counts as complete unless the link was reset.
func WithCloseDelimited() SendOption { return func(e *Exchange) { e.closeDelimited = true } }

// WithMaxIdle reuses only links that were idle for at most d; with 0 a new link
// is opened.
func WithMaxIdle(d time.Duration) SendOption { return func(e *Exchange) { e.maxIdle = d } }

// WithCheck makes Send fail as Withdrawn, before the first byte, if usable returns false once
// there is a link: the wait for one can outlast the decision to use the instance.
func WithCheck(usable func() bool) SendOption { return func(e *Exchange) { e.usable = usable } }

// Send writes a request and reads the header of its response. A large body is
// written while the response is awaited; closing it must unblock a pending Read.
func (p *Pool) Send(ctx context.Context, address string, req *http.Request, opts ...SendOption) (*Exchange, error) {
	e := &Exchange{pool: p, request: req, maxIdle: unlimitedIdle}
	for _, opt := range opts {
		opt(e)
	}
	l, links, err := p.open(ctx, address, e.maxIdle)
	if err == nil && e.identity != "" && l.identity == e.identity {
		// A late response to the earlier request could not be told from that to this one.
		l.close()
		links.remove(l)
		l, links, err = p.open(ctx, address, 0)
	}
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		links.giveBack(l)
		return nil, &Failure{cause: Cancelled, err: ctx.Err(), address: address}
	}
	if e.usable != nil && !e.usable() {
		links.giveBack(l)
		return nil, &Failure{cause: Withdrawn, err: errWithdrawn, address: address}
	}
	e.link, e.links = l, links
	l.identity = e.identity
	before := l.written.Load()
	body := req.Body
	e.stop = context.AfterFunc(ctx, func() {
		l.abort()
		if body != nil {
			_ = body.Close() // ends a read that waits for the caller
		}
	})
	returned := false
	defer func() {
		if !returned { // a panic, such as of the interim handler
			_ = e.abort()
		}
	}()
	err = e.exchange()
	returned = true
	if err != nil {
		return nil, e.fail(ctx, address, err, before)
	}
	return e, nil
}

func (e *Exchange) exchange() error {
	if err := e.link.beginHeader(); err != nil {
		return err
	}
	body := e.request.Body
	inline := body == nil || body == http.NoBody
	if !inline {
		e.body = &requestBody{ReadCloser: body}
		e.request.Body = e.body
		inline = e.request.ContentLength > 0 && e.request.ContentLength <= maxInlineBytes
	}
	if !inline {
		e.sent = make(chan error, 1)
		go e.upload()
		return e.readHeader()
	}
	if err := e.write(); err != nil {
		return e.responseOr(err)
	}
	return e.readHeader()
}

// fail ends the exchange. before is the number of bytes that had been written to
// the link when it began.
func (e *Exchange) fail(ctx context.Context, address string, err error, before int64) *Failure {
	sent := e.abort()
	wrote := e.link.written.Load() > before // final, as the upload has ended
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
	case cause == Closed && e.link.reused && !e.link.responseStarted:
		cause = Stale
		e.pool.idle.record(e.link.reusedAfter, true, time.Now())
		e.links.closeIdleSince(e.link.idleSince)
	}
	if cause == Silent {
		e.links.retire(e.link.openedAt.Add(retirementMargin))
	}
	return &Failure{cause: cause, err: err, wrote: wrote, address: address}
}

// abort closes the link and waits for the upload. It returns the error of an
// upload that had already ended.
func (e *Exchange) abort() error {
	e.stop()
	e.link.abort()
	e.links.remove(e.link)
	if e.sent == nil {
		return nil
	}
	select {
	case err := <-e.sent:
		return err
	default:
	}
	// Closing the body unblocks an upload that waits for more bytes from the caller.
	_ = e.request.Body.Close()
	<-e.sent
	return nil
}

// OpenedAt returns when the link was opened.
func (e *Exchange) OpenedAt() time.Time { return e.link.openedAt }

// Response returns the response header.
func (e *Exchange) Response() *http.Response { return e.response }

// Close ends the exchange. The link is returned to the pool only if the whole
// request was sent and the whole response was read.
func (e *Exchange) Close() {
	if e.closed.Swap(true) {
		return
	}
	if !e.reusable() || !e.stop() {
		// The response is already delivered, so an upload error does not matter.
		_ = e.abort()
		return
	}
	e.links.put(e.link)
}

func (e *Exchange) reusable() bool {
	if !e.complete && e.response.Body != http.NoBody || e.response.Close || e.link.reader.Buffered() > 0 {
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
