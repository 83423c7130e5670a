package caller

import (
	"context"
	"io"
	"maps"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/link"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const (
	copyBufferBytes = 32 << 10
	// stalledWrite is the time after which a caller that takes no byte of a response
	// is considered to have stopped reading.
	stalledWrite = time.Second
)

// Results in the decision log of responses that were begun and not completed.
const (
	resultCut        = "cut"
	resultCallerGone = "caller-gone"
)

var errResponseTooLarge = errors.New("response body is larger than the limit")

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// reachabilityContext returns the context of a check of an instance. It ends with
// the requests of a stopping host, which the check would delay.
func (h *Handler) reachabilityContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(h.stop.ctx, reachabilityTimeout)
}

// responseOptions returns the conditions that the dialect sets for a response to the request,
// whether an instance sends it or another entry host passes it on.
func (c *call) responseOptions() []upstream.SendOption {
	var opts []upstream.SendOption
	if name := c.dialect.RequestID; name != "" {
		opts = append(opts, upstream.WithIdentity(name, c.r.Header.Get(name)))
	}
	if validate := c.dialect.Validate; validate != nil {
		opts = append(opts, upstream.WithValidation(func(response *http.Response) error { return validate(response.StatusCode, response.Header) }))
	}
	if c.dialect.CloseDelimited {
		opts = append(opts, upstream.WithCloseDelimited())
	}
	return opts
}

// forwardInterim forwards an interim (1xx) response.
func (c *call) forwardInterim(code int, header http.Header) {
	if c.headerSent || c.callerGone || c.ctx.pastArrivalDeadline() {
		return // past the deadline the write would fail, and the outcome after it
	}
	h := c.w.Header()
	before := maps.Clone(h)
	defer func() { // also after a panic, as the next header may be that of an outcome
		clear(h)
		maps.Copy(h, before)
	}()
	removeHopByHopHeaders(header)
	maps.Copy(h, header)
	c.extendWriteDeadlineUpTo(c.ctx.arrivalDeadline)
	c.w.WriteHeader(code)
}

// handleResponse forwards the instance's response, or returns the problem that
// the response stands for: a refusal, or an outcome of the layer below.
func (d *dispatch) handleResponse(exchange *upstream.Exchange) result {
	response, id := exchange.Response(), d.target.ID()
	d.c.backlogEntry.ResponseStarted(time.Now())
	d.report.Failed = response.StatusCode >= http.StatusInternalServerError
	if report, ok := d.c.dialect.Load(response.Header); ok {
		d.report.ReportedLoad, d.report.Slowdown, d.report.HasReportedLoad = report.Requests, report.Slowdown, true
	}
	d.report.RateLimit = d.c.dialect.Limit(response.Header)
	d.report.Answered = true
	d.report.Leaving = d.c.dialect.isLeaving(response.Header)
	d.c.decision.Status = response.StatusCode
	d.poisonAttempt.Responded(exchange.OpenedAt())
	if d.c.dialect.Refused(response.StatusCode, response.Header) {
		d.report.Refused, d.report.Failed = true, false
		if misdirected := d.c.dialect.Misdirected; misdirected != nil && misdirected(response.StatusCode) {
			d.report.Unreachable = true
		}
		d.poisonAttempt.Dismiss()
		return result{problem: d.c.problem(outcome.NotRun, outcome.UpstreamRefused, "the instance refused the request before starting it"), instance: id}
	}
	if d.c.breaksPromise(response.StatusCode) {
		response.Close = true
		d.report.Failed = true
		return result{problem: d.c.problem(outcome.Unknown, outcome.UpstreamLost, "response "+response.Status+" does not state that the request has not run"), instance: id}
	}
	if d.c.dialect.Outcomes {
		switch outcome.Kind(response.Header.Get(outcome.Header)) {
		case outcome.NotRun:
			d.poisonAttempt.Dismiss()
			return result{problem: d.c.problem(outcome.NotRun, outcome.UpstreamRefused, "the layer below did not run the request"), instance: id, final: true}
		case outcome.Unknown:
			return result{problem: d.c.problem(outcome.Unknown, outcome.UpstreamLost, "the layer below reported an unknown outcome"), instance: id, final: true}
		case outcome.Answer:
		}
	}
	problem := d.forward(exchange)
	if problem == nil && response.StatusCode < http.StatusInternalServerError { // a failed run may have been cut short
		d.poisonAttempt.Answered()
	}
	return result{problem: problem, instance: id, final: true}
}

// forward sends the response to the caller. It returns a problem if the response
// breaks off before the first byte of its body. Later it aborts the caller's
// connection if the response is truncated or the caller stops reading.
func (d *dispatch) forward(exchange *upstream.Exchange) *outcome.Problem {
	c, response := d.c, exchange.Response()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	received := exchange.Received()
	n, err := c.readFirst(exchange, buffer[:])
	received = received || errors.Is(err, io.EOF)
	c.ctx.disarm()
	if !c.ctx.outliveStop() && !received { // the end of the context has closed the link
		d.recorder.recordHeader(response)
		d.recorder.markTruncated()
		d.report.Failed = d.report.Failed || c.ctx.cause() == errDeadline
		return c.problem(outcome.Unknown, outcome.UpstreamLost, "the response began too late")
	}
	if n == 0 && err != nil && !errors.Is(err, io.EOF) {
		d.recorder.recordHeader(response)
		d.recordTruncated(err)
		return c.problem(outcome.Unknown, outcome.UpstreamLost, "response of "+string(d.target.ID())+" without a body: "+err.Error())
	}
	if exchange.Uploading() || c.body.cutShort() {
		// Without full duplex the server reads the rest of the upload before it responds. After
		// an interruption that read fails, and the server cancels the context of the request.
		_ = c.controller.EnableFullDuplex()
		c.w.Header().Set("Connection", "close")
	}
	d.h.closeIfStopping(c)
	connection := c.w.Header()["Connection"]
	copyHeader(c.w.Header(), response.Header)
	if connection != nil {
		c.w.Header()["Connection"] = connection
	}
	if c.dialect.Outcomes {
		c.w.Header().Set(outcome.Header, string(outcome.Answer))
		c.w.Header().Set(outcome.DecisionHeader, c.id)
	} else {
		c.w.Header().Del(outcome.Header) // a host that relays reads it as this host's
	}
	c.extendWriteDeadline()
	c.headerSent = true
	c.w.WriteHeader(response.StatusCode)
	d.recorder.recordHeader(response)
	if err := c.streamBody(exchange, d.recorder, buffer[:], n, err); err != nil {
		d.h.logDecision(c, d.recordTruncated(err))
		if response.ContentLength < 0 && !c.r.ProtoAtLeast(1, 1) {
			c.reset()
		}
		panic(http.ErrAbortHandler)
	}
	if c.callerGone {
		d.h.logDecision(c, resultCallerGone)
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		c.w.Header()[http.TrailerPrefix+name] = values
	}
	d.h.logDecision(c, string(outcome.Answer))
	return nil
}

// readFirst reads the first part of a response body, unless the length that the
// response states exceeds the limit.
func (c *call) readFirst(exchange *upstream.Exchange, buffer []byte) (int, error) {
	response := exchange.Response()
	if c.responseBytes > 0 && response.ContentLength > c.responseBytes && response.Body != http.NoBody {
		return 0, errResponseTooLarge
	}
	return exchange.Read(buffer)
}

// reset resets the caller's connection, which shows the truncation of a response
// that ends with its connection.
func (c *call) reset() {
	conn, _, err := c.controller.Hijack()
	if err != nil {
		return // the server closes the connection
	}
	link.Reset(conn)
}

// recordTruncated records that the response was not forwarded completely, and
// returns the result for the decision log. It counts against the instance unless
// the caller left.
func (d *dispatch) recordTruncated(err error) string {
	d.recorder.markTruncated()
	if d.c.endedByCaller(err) {
		return resultCallerGone
	}
	d.report.Failed = true
	truncatedResponses.Inc()
	d.interrupted()
	return resultCut
}

// endedByCaller reports whether a response was not read to its end because the
// caller disconnected, or stopped reading until its deadline.
func (c *call) endedByCaller(err error) bool {
	cause := c.ctx.cause()
	return cause == errCallerGone || c.callerLeft && (cause == errDeadline || errors.Is(err, errCallerGone))
}

// streamBody copies a response body, of which n bytes are in the buffer, to the
// caller and flushes after each read. It returns an error if the body is
// truncated. After the caller has disconnected it reads on only if the contract
// lets the instance finish.
func (c *call) streamBody(body io.Reader, rec *recorder, buffer []byte, n int, err error) error {
	total := int64(0)
	for ; ; n, err = body.Read(buffer) {
		total += int64(n)
		if c.responseBytes > 0 && total > c.responseBytes {
			return errResponseTooLarge
		}
		if n > 0 {
			rec.recordBody(buffer[:n])
			c.backlogEntry.AddBodyBytes(n, c.rule.Contract().Bulk())
			c.writeChunk(buffer[:n], !errors.Is(err, io.EOF))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.callerGone && !c.survivesDisconnect() {
			return errCallerGone
		}
	}
}

// writeChunk writes a part of the response body to the caller.
func (c *call) writeChunk(chunk []byte, flush bool) {
	if c.callerGone {
		return
	}
	// What was received in time may be sent up to the deadline of the caller.
	c.extendWriteDeadlineUpTo(c.ctx.callerDeadline)
	started := time.Now()
	_, err := c.w.Write(chunk)
	if err == nil && flush {
		err = c.controller.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.callerGone = true
		c.callerLeft = !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(started) >= stalledWrite
	}
}

// survivesDisconnect reports whether the instance may finish after the caller
// has disconnected. An at-most-once request does, so that its response is
// stored.
func (c *call) survivesDisconnect() bool {
	return c.rule.Contract().Finish() || c.rule.Contract().Once()
}
