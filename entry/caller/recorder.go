package caller

import (
	"net/http"

	"github.com/snipebeam/snipebeam/world/wire"
)

// maxStoredBodyBytes bounds the body that is stored with a claim.
const maxStoredBodyBytes = 48 << 10

// recorder keeps a copy of an answer up to a bounded size. A nil recorder
// keeps nothing.
type recorder struct {
	status   int
	header   http.Header
	body     []byte
	overflow bool
	lost     bool
}

func (r *recorder) head(response *http.Response) {
	if r == nil {
		return
	}
	r.status = response.StatusCode
	r.header = response.Header.Clone()
}

// keep takes a part of the body.
func (r *recorder) keep(p []byte) {
	if r == nil || r.overflow {
		return
	}
	if len(r.body)+len(p) > maxStoredBodyBytes {
		r.overflow, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// cut records that the answer did not come whole.
func (r *recorder) cut() {
	if r == nil {
		return
	}
	r.lost, r.overflow, r.body = true, true, nil
}

// answer returns the answer as it is stored, nil if there was none.
func (r *recorder) answer() *wire.StoredAnswer {
	if r.status == 0 {
		return nil
	}
	answer := &wire.StoredAnswer{Status: uint32(r.status), Body: r.body, BodyDropped: r.overflow, Cut: r.lost}
	for name, values := range r.header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return answer
}
