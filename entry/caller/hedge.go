package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
)

var (
	hedges    = metrics.GetOrCreateCounter("snipebeam_hedges_total")
	hedgesWon = metrics.GetOrCreateCounter("snipebeam_hedges_won_total")
)

// mayHedge reports whether the request may be sent to a second instance while
// the first one has not answered.
func (h *Handler) mayHedge(c *call) bool {
	terms := c.rule.Contract()
	return terms.Hedge() && c.repeatable() && c.body.whole && c.layer == 1
}

// sent is what came of one of two exchanges.
type sent struct {
	d        *dispatch
	attempt  int
	exchange *upstream.Exchange
	err      error
}

// good reports whether the answer is worth passing on while another instance
// may still answer.
func (s sent) good() bool {
	return s.err == nil && s.exchange.Response().StatusCode < http.StatusInternalServerError &&
		!s.d.c.dialect.Refused(s.exchange.Response().StatusCode, s.exchange.Response().Header)
}

// race sends the request, and once more if the answer is late. The first good
// answer is passed on, and the other exchange is cancelled.
func (h *Handler) race(first *dispatch, attempt int, tried []instance.ID) result {
	c := first.c
	results := make(chan sent, 2)
	first.begin()
	first.launch(attempt, results)
	defer first.cancel()
	late := time.NewTimer(h.hedgeDelay(c))
	defer late.Stop()
	var second *dispatch
	for {
		select {
		case one := <-results:
			if second == nil {
				return one.d.conclude(one.attempt, one.exchange, one.err)
			}
			return settle(one, results, first, second)
		case <-late.C:
			if second = h.second(first, tried); second == nil {
				continue
			}
			defer second.finish()
			hedges.Inc()
			second.begin()
			second.launch(attempt+1, results)
			defer second.cancel()
		}
	}
}

// noHedge is a delay that no request lives to see.
const noHedge = time.Hour

func (h *Handler) hedgeDelay(c *call) time.Duration {
	if delay := h.parts.Router.HedgeDelay(c.service, c.rule.Contract().Aim()); delay > 0 {
		return delay
	}
	return noHedge
}

// second returns a dispatch to another instance, or nil if there is none to
// spare or the contract allows no more.
func (h *Handler) second(first *dispatch, tried []instance.ID) *dispatch {
	c := first.c
	if most := c.rule.Contract().Attempts(); most > 0 && len(tried)+2 > most {
		return nil
	}
	exclude := append(append([]instance.ID{}, tried...), first.target.ID())
	ticket := h.parts.Router.Try(route.NewQuery(c.service, c.rule.Contract(), c.caller, h.parts.Zone, exclude...))
	if ticket == nil {
		return nil
	}
	return &dispatch{h: h, c: c, ticket: ticket, target: ticket.Instance(), seen: first.seen}
}

// launch sends the request beside the calling goroutine.
func (d *dispatch) launch(attempt int, results chan<- sent) {
	d.ctx, d.cancel = context.WithCancel(d.c.clock)
	go func() {
		exchange, err := d.send(attempt)
		results <- sent{d: d, attempt: attempt, exchange: exchange, err: err}
	}()
}

// settle passes on the first good answer of two exchanges, else the last one.
func settle(one sent, results <-chan sent, first, second *dispatch) result {
	other := first
	if one.d == first {
		other = second
	}
	if !one.good() {
		last := <-results
		if last.good() {
			one.discard()
			return last.win(first)
		}
		one.discard()
		return last.d.conclude(last.attempt, last.exchange, last.err)
	}
	other.cancel()
	other.report = route.Report{HedgeCancelled: true, Latency: time.Since(other.started)}
	go func() {
		if lost := <-results; lost.exchange != nil {
			lost.exchange.Close()
		}
	}()
	return one.win(first)
}

func (s sent) win(first *dispatch) result {
	if s.d != first {
		hedgesWon.Inc()
	}
	return s.d.conclude(s.attempt, s.exchange, s.err)
}

// discard learns from an exchange whose answer is not passed on.
func (s sent) discard() {
	s.d.report.Latency = time.Since(s.d.started)
	s.d.c.dispatched = true
	if s.err != nil {
		s.d.lost(s.err)
		return
	}
	defer s.exchange.Close()
	response := s.exchange.Response()
	s.d.report.Refused = s.d.c.dialect.Refused(response.StatusCode, response.Header)
	s.d.report.Failed = !s.d.report.Refused
}
