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

func (h *Handler) reachContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), reachLimit)
}

// inform passes an interim answer on.
func (c *call) inform(code int, header http.Header) {
	if c.sent || c.gone {
		return
	}
	h := c.w.Header()
	before := maps.Clone(h)
	removeHopHeaders(header)
	maps.Copy(h, header)
	c.allowWrite()
	c.w.WriteHeader(code)
	clear(h)
	maps.Copy(h, before)
}

// answer passes the instance's answer on, or says what it means if it is none.
func (d *dispatch) answer(exchange *upstream.Exchange) result {
	response, id := exchange.Response(), d.target.ID()
	d.c.stay.ResponseStarted(time.Now())
	d.c.clock.answered()
	d.report.Failed = response.StatusCode >= http.StatusInternalServerError
	if report, told := d.c.dialect.Load(response.Header); told {
		d.report.ReportedLoad, d.report.Slowdown, d.report.HasReportedLoad = report.Requests, report.Speed, true
	}
	d.c.decision.Status = response.StatusCode
	d.flight.Answered()
	if d.c.dialect.Refused(response.StatusCode, response.Header) {
		d.report.Refused, d.report.Failed = true, false
		if misdirected := d.c.dialect.Misdirected; misdirected != nil && misdirected(response.StatusCode) {
			d.report.ConnectionLost = true
		}
		return result{problem: d.c.problem(outcome.NotRun, outcome.UpstreamRefused, "the instance refused before it started"), instance: id}
	}
	if !d.c.dialect.Outcomes {
		d.pass(exchange)
		return result{instance: id}
	}
	switch outcome.Kind(response.Header.Get(outcome.Header)) {
	case outcome.NotRun:
		return result{problem: d.c.problem(outcome.NotRun, outcome.UpstreamRefused, "the layer below did not run it"), instance: id, final: true}
	case outcome.Unknown:
		return result{problem: d.c.problem(outcome.Unknown, outcome.UpstreamLost, "the layer below does not know"), instance: id, final: true}
	case outcome.Answer:
	}
	d.pass(exchange)
	return result{instance: id}
}

// pass sends the answer to the caller. An answer that is cut, or that the
// caller does not take, ends with an abort of the caller's link.
func (d *dispatch) pass(exchange *upstream.Exchange) {
	c, response := d.c, exchange.Response()
	if exchange.Uploading() {
		// Without it the server would read the upload to its end first.
		_ = c.control.EnableFullDuplex()
		c.w.Header().Set("Connection", "close")
	}
	connection := c.w.Header()["Connection"]
	copyHeader(c.w.Header(), response.Header)
	if connection != nil {
		c.w.Header()["Connection"] = connection
	}
	if c.dialect.Outcomes {
		c.w.Header().Set(outcome.Header, string(outcome.Answer))
		c.w.Header().Set(outcome.DecisionHeader, c.id)
	}
	c.allowWrite()
	c.sent = true
	c.w.WriteHeader(response.StatusCode)
	d.seen.head(response)
	if err := c.stream(exchange, d.seen); err != nil {
		d.report.Failed = true
		d.seen.cut()
		cuts.Inc()
		d.h.write(c, "cut")
		panic(http.ErrAbortHandler)
	}
	if c.gone {
		d.h.write(c, "caller-gone")
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		c.w.Header()[http.TrailerPrefix+name] = values
	}
	d.h.write(c, string(outcome.Answer))
}

// stream copies an answer's body and flushes what has arrived. It returns an
// error if the body is cut. If the caller has gone it goes on only for a
// contract that lets the instance finish.
func (c *call) stream(body io.Reader, seen *recorder) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			seen.keep(buffer[:n])
			c.stay.AddBodyBytes(n, c.rule.Contract().Bulk())
			c.deliver(buffer[:n], err == nil)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.gone && !c.finishes() {
			return errCallerGone
		}
	}
}

// deliver writes a part of the answer to the caller.
func (c *call) deliver(part []byte, flush bool) {
	if c.gone {
		return
	}
	c.allowWrite()
	_, err := c.w.Write(part)
	if err == nil && flush {
		err = c.control.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.gone = true
	}
}

// finishes reports whether the instance goes on when the caller has gone. A
// request that must run at most once does, so that its answer is kept.
func (c *call) finishes() bool {
	return c.rule.Contract().Finish() || c.rule.Contract().Once()
}
