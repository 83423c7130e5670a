package link

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// MaxHeaderBytes limits the header of a message between the system's processes.
const MaxHeaderBytes = 64 << 10

// ErrTooLarge means that a peer sent a longer body than any message has.
var ErrTooLarge = errors.New("body is longer than a message can be")

// Bounded returns a transport that fails a response once its body is longer than a number of
// bytes. The connection is then closed.
func Bounded(base http.RoundTripper, bytes int64) http.RoundTripper {
	return &boundedTransport{base: base, bytes: bytes}
}

type boundedTransport struct {
	base  http.RoundTripper
	bytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > t.bytes {
		_ = response.Body.Close()
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", response.ContentLength)
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: t.bytes}
	return response, nil
}

type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if b.left -= int64(n); b.left < 0 {
		return n, ErrTooLarge
	}
	return n, err
}

// BoundedHandler returns a handler that fails to read a request once its body is longer than a
// number of bytes.
func BoundedHandler(next http.Handler, bytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, bytes)
		next.ServeHTTP(w, r)
	})
}
