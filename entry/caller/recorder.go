package caller

import (
	"net/http"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxStoredBodyBytes bounds the body that is stored with a claim.
const maxStoredBodyBytes = 64 << 10

// recorder keeps a copy of an answer up to a bounded size. A nil recorder
// keeps nothing.
type recorder struct {
	status   int
	header   http.Header
	body     []byte
	overflow bool
}

func (r *recorder) head(response *http.Response) {
	if r == nil {
		return
	}
	r.status = response.StatusCode
	r.header = response.Header.Clone()
}

// Write keeps a copy of a part of the body.
func (r *recorder) Write(p []byte) (int, error) {
	if r == nil || r.overflow {
		return len(p), nil
	}
	if len(r.body)+len(p) > maxStoredBodyBytes {
		r.overflow, r.body = true, nil
		return len(p), nil
	}
	r.body = append(r.body, p...)
	return len(p), nil
}

func (r *recorder) answer() *wire.StoredAnswer {
	answer := &wire.StoredAnswer{Status: uint32(r.status), Body: r.body, BodyDropped: r.overflow}
	for name, values := range r.header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return answer
}
