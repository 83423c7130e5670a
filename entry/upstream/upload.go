package upstream

import (
	"io"

	"github.com/pkg/errors"
)

// upload writes the request while the response is awaited. A write error alone
// does not close the link, since the instance may still respond after it stopped
// reading. After a body error or a timeout no response can follow.
func (e *Exchange) upload() {
	err := e.write()
	// Sent before the link is closed, so that a reader that finds the link closed
	// can get the cause.
	e.sent <- err
	if cause := causeOf(err); err != nil && (cause == Body || cause == Silent) {
		e.link.abort()
	}
}

// responseOr reads a response that arrived although the request could not be
// sent completely. Without one it returns the error of sending.
func (e *Exchange) responseOr(sendErr error) error {
	var body bodyError
	if errors.As(sendErr, &body) || e.readHeader() != nil {
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

// Uploading reports whether the request is still being sent.
func (e *Exchange) Uploading() bool { return e.sent != nil && len(e.sent) == 0 }

// requestBody records read errors of the body, which http.Request.Write does not
// distinguish from write errors of the link.
type requestBody struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}
