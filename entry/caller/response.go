package caller

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// reachabilityContext returns the context of a check of an instance. It ends with
// the requests of a stopping host, which the check would delay.
func (h *Handler) reachabilityContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(h.stop.ctx, reachabilityTimeout)
}

// forwardInterim forwards an interim (1xx) response.
func (c *call) forwardInterim(code int, header http.Header) {
	if c.headerSent || c.callerGone {
		return
	}
	h := c.w.Header()
	before := maps.Clone(h)
	removeHopByHopHeaders(header)
	maps.Copy(h, header)
	c.extendWriteDeadline()
	c.w.WriteHeader(code)
	clear(h)
	maps.Copy(h, before)
}

// handleResponse forwards the instance's response, or returns the problem that
// the response stands for: a refusal, or an outcome of the layer below.
func (d *dispatch) handleResponse(exchange *upstream.Exchange) result {
	response, id := exchange.Response(), d.target.ID()
	d.c.backlogEntry.ResponseStarted(time.Now())
	d.c.ctx.disarm()
	d.report.Failed = response.StatusCode >= http.StatusInternalServerError
	if report, ok := d.c.dialect.Load(response.Header); ok {
		d.report.ReportedLoad, d.report.Slowdown, d.report.HasReportedLoad = report.Requests, report.Slowdown, true
	}
	d.c.decision.Status = response.StatusCode
	d.poisonAttempt.Answered()
	if d.c.dialect.Refused(response.StatusCode, response.Header) {
		d.report.Refused, d.report.Failed = true, false
		if misdirected := d.c.dialect.Misdirected; misdirected != nil && misdirected(response.StatusCode) {
			d.report.Unreachable = true
		}
		return result{problem: d.c.problem(outcome.NotRun, outcome.UpstreamRefused, "the instance refused the request before starting it"), instance: id}
	}
	if d.c.ctx.Err() != nil && !exchange.Received() { // the end of the context has closed the link
		return result{problem: d.c.problem(outcome.Unknown, outcome.UpstreamLost, "the response began too late"), instance: id}
	}
	if !d.c.dialect.Outcomes {
		d.forward(exchange)
		return result{instance: id}
	}
	switch outcome.Kind(response.Header.Get(outcome.Header)) {
	case outcome.NotRun:
		return result{problem: d.c.problem(outcome.NotRun, outcome.UpstreamRefused, "the layer below did not run the request"), instance: id, final: true}
	case outcome.Unknown:
		return result{problem: d.c.problem(outcome.Unknown, outcome.UpstreamLost, "the layer below reported an unknown outcome"), instance: id, final: true}
	case outcome.Answer:
	}
	d.forward(exchange)
	return result{instance: id}
}

// forward sends the response to the caller. It aborts the caller's connection
// if the response is truncated or the caller stops reading.
func (d *dispatch) forward(exchange *upstream.Exchange) {
	c, response := d.c, exchange.Response()
	if exchange.Uploading() {
		// Without full duplex the server reads the whole upload before it responds.
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
	}
	c.extendWriteDeadline()
	c.headerSent = true
	c.w.WriteHeader(response.StatusCode)
	d.recorder.recordHeader(response)
	if err := c.streamBody(exchange, d.recorder); err != nil {
		d.report.Failed = true
		d.recorder.markTruncated()
		truncatedResponses.Inc()
		d.h.logDecision(c, "cut")
		panic(http.ErrAbortHandler)
	}
	if c.callerGone {
		d.h.logDecision(c, "caller-gone")
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		c.w.Header()[http.TrailerPrefix+name] = values
	}
	d.h.logDecision(c, string(outcome.Answer))
}

// streamBody copies a response body to the caller and flushes after each read.
// It returns an error if the body is truncated. After the caller has
// disconnected it reads on only if the contract lets the instance finish.
func (c *call) streamBody(body io.Reader, rec *recorder) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			rec.recordBody(buffer[:n])
			c.backlogEntry.AddBodyBytes(n, c.rule.Contract().Bulk())
			c.writeChunk(buffer[:n], err == nil)
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
	c.extendWriteDeadline()
	_, err := c.w.Write(chunk)
	if err == nil && flush {
		err = c.controller.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.callerGone = true
	}
}

// survivesDisconnect reports whether the instance may finish after the caller
// has disconnected. An at-most-once request does, so that its response is
// stored.
func (c *call) survivesDisconnect() bool {
	return c.rule.Contract().Finish() || c.rule.Contract().Once()
}
