package caller

import (
	"net/http"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxStoredBodyBytes bounds the response body that is stored with a claim.
const maxStoredBodyBytes = 48 << 10

// recorder copies a response, with at most maxStoredBodyBytes of body, so that
// it can be stored with the claim. A nil recorder records nothing.
type recorder struct {
	status    int
	header    http.Header
	body      []byte
	overflow  bool
	truncated bool
}

func (r *recorder) recordHeader(response *http.Response) {
	if r == nil {
		return
	}
	r.status = response.StatusCode
	r.header = response.Header.Clone()
}

// recordBody appends a part of the body, or drops the body if it is too large.
func (r *recorder) recordBody(p []byte) {
	if r == nil || r.overflow {
		return
	}
	if len(r.body)+len(p) > maxStoredBodyBytes {
		r.overflow, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// markTruncated records that the response was incomplete, and drops its body.
func (r *recorder) markTruncated() {
	if r == nil {
		return
	}
	r.truncated, r.overflow, r.body = true, true, nil
}

// stored returns the response in its stored form, nil if there was none.
func (r *recorder) stored() *wire.StoredAnswer {
	if r.status == 0 {
		return nil
	}
	answer := &wire.StoredAnswer{Status: uint32(r.status), Body: r.body, BodyDropped: r.overflow, Cut: r.truncated}
	for name, values := range r.header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return answer
}
