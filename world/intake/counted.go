package intake

import (
	"bytes"
	"io"
	"net/http"
)

// Counted charges the entries of a request's body before the handler decodes them, which
// may take a hundred times their bytes. A body that cannot be read is left to the handler.
func Counted(next http.Handler, entries func(r *http.Request, body []byte) int, entryBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err == nil {
			if chargeErr := c.budget.charge(c.account, entryBytes*int64(entries(r, body))); chargeErr != nil {
				panic(http.ErrAbortHandler) // the connection is closed
			}
		}
		r.Body = &readBody{Reader: io.MultiReader(bytes.NewReader(body), failing{err}), Closer: r.Body}
		next.ServeHTTP(w, r)
	})
}

// readBody is a body that has been read.
type readBody struct {
	io.Reader
	io.Closer
}

// failing returns the error that ended a body.
type failing struct{ err error }

// Read implements io.Reader.
func (f failing) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}
