package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Limits of a response.
const (
	maxInterimResponses = 16       // before the final response
	maxMismatchedBytes  = 64 << 10 // of discarded responses to other requests
)

var (
	errCloseDelimited = errors.New("response body has no length, so that a truncation cannot be detected")
	errMismatched     = errors.New("response belongs to another request")
	errInterim        = errors.New("unexpected or too many interim responses")
	errStatus         = errors.New("response has an invalid status code")
	errUnidentified   = errors.New("response does not echo the identity of the request")
)

// Reasons for which final responses are rejected.
const (
	rejectedIdentity   = "identity"
	rejectedValidation = "validation"
)

func rejectedResponses(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`snipebeam_responses_rejected_total{reason="` + reason + `"}`)
}

func (e *Exchange) readHeader() error {
	for range maxInterimResponses {
		response, err := http.ReadResponse(e.link.reader, e.request)
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if response.StatusCode < http.StatusContinue {
			return errors.Wrap(errStatus, response.Status)
		}
		if response.StatusCode >= http.StatusOK && e.isMismatched(response) {
			if err := e.discard(response); err != nil {
				return err
			}
			continue
		}
		if response.StatusCode >= http.StatusOK {
			return e.accept(response)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return errInterim
		}
		if e.onInterim != nil && response.StatusCode != http.StatusContinue && e.identifies(response) {
			e.onInterim(response.StatusCode, response.Header)
		}
	}
	return errInterim
}

// accept takes a final response as that to this request. A response that names no request may be
// a late one to an earlier request or, on any link, not a response at all.
func (e *Exchange) accept(response *http.Response) error {
	if !e.identifies(response) {
		rejectedResponses(rejectedIdentity).Inc()
		return errUnidentified
	}
	if e.validate != nil {
		if err := e.validate(response); err != nil {
			rejectedResponses(rejectedValidation).Inc()
			return errors.Wrap(err, "validate response")
		}
	}
	e.response = response
	e.link.inHeader = false
	if e.link.reused {
		e.pool.idle.record(e.link.reusedAfter, false, time.Now())
	}
	return e.checkFraming(response)
}

// identifies reports whether a response certainly belongs to this request: it echoes the identity
// and no other, or none is in use.
func (e *Exchange) identifies(response *http.Response) bool {
	values := response.Header.Values(e.identityHeader)
	return e.identityHeader == "" || len(values) == 1 && values[0] == e.identity
}

// isMismatched reports whether a response names another request.
func (e *Exchange) isMismatched(response *http.Response) bool {
	values := response.Header.Values(e.identityHeader)
	return e.identityHeader != "" && len(values) == 1 && values[0] != "" && values[0] != e.identity
}

// discard reads a response to another request to its end. Together with the
// headers, all discarded responses are limited in size. The link is not reused
// afterwards.
func (e *Exchange) discard(response *http.Response) error {
	if framedBody := response.ContentLength >= 0 || len(response.TransferEncoding) > 0; !framedBody || response.Close {
		return errMismatched
	}
	if e.mismatched == 0 {
		e.link.headerBytesLeft += maxMismatchedBytes
	}
	e.mismatched++
	e.link.headerLinesLeft = e.link.headerBytesLeft // its body may have any number of lines
	_, err := io.Copy(io.Discard, response.Body)
	e.link.headerLinesLeft, e.link.inHeaderLine = maxHeaderLines, false
	return errors.Wrap(err, "discard response to another request")
}

// checkFraming rejects a body that ends when the link is closed, unless
// close-delimited responses are accepted, since its end cannot be distinguished
// from a truncation.
func (e *Exchange) checkFraming(response *http.Response) error {
	if e.mismatched > 0 {
		response.Close = true
	}
	e.endsWithLink = response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
	if e.endsWithLink && !e.closeDelimited {
		return errCloseDelimited
	}
	return nil
}

// Received reports whether the whole response has been received already.
func (e *Exchange) Received() bool {
	length := e.response.ContentLength
	return e.response.Body == http.NoBody || length >= 0 && int64(e.link.reader.Buffered()) >= length
}

// Read reads the response body. Any error other than io.EOF means that the body
// was truncated. Bytes that frame the body count as progress only if there are
// many of them.
func (e *Exchange) Read(p []byte) (int, error) {
	e.link.beginBodyRead()
	n, err := e.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		return n, e.end()
	}
	if err != nil && causeOf(err) == Silent {
		e.links.retire(e.link.openedAt.Add(retirementMargin))
	}
	return n, err
}

// end returns io.EOF if the response is complete. Where it ends with its link, the write of
// the request may have found out first that the link broke.
func (e *Exchange) end() error {
	if e.endsWithLink {
		if err := e.link.endOfData(); err != nil {
			return err
		}
	}
	e.complete = true
	return io.EOF
}
