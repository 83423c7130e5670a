package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"github.com/snipebeam/snipebeam/world/instance"
)

var (
	hedges    = metrics.GetOrCreateCounter("snipebeam_hedges_total")
	hedgesWon = metrics.GetOrCreateCounter("snipebeam_hedges_won_total")
)

// mayHedge reports whether the request may be sent to a second instance while
// the first one has not responded.
func (h *Handler) mayHedge(c *call) bool {
	terms := c.rule.Contract()
	return terms.Hedge() && c.repeatable() && c.body.complete && c.incomingAttempt == 1 && !h.cfg.Suspects.Suspect(c.fingerprint)
}

// exchangeResult is the result of one of two exchanges.
type exchangeResult struct {
	d        *dispatch
	attempt  int
	exchange *upstream.Exchange
	err      error
}

// acceptable reports whether the response is to be forwarded although another
// instance may still respond.
func (r exchangeResult) acceptable() bool {
	return r.err == nil && r.exchange.Response().StatusCode < http.StatusInternalServerError &&
		!r.d.c.dialect.Refused(r.exchange.Response().StatusCode, r.exchange.Response().Header)
}

// runHedged sends the request, and hedges it if the response is late. The first
// acceptable response is forwarded, and the other exchange is cancelled.
func (h *Handler) runHedged(first *dispatch, attempt int, tried []instance.ID) result {
	c := first.c
	results := make(chan exchangeResult, 2)
	first.begin()
	first.sendAsync(attempt, results)
	defer first.cancel()
	late := time.NewTimer(h.hedgeDelay(c))
	defer late.Stop()
	charged := make(chan route.Charge, 1)
	var second *dispatch // waits for its charge until begun
	begun := false
	for {
		select {
		case arrived := <-results:
			if begun {
				return concludeHedged(arrived, results, first, second)
			}
			if second != nil {
				second.ticket.Release()
			}
			return arrived.d.conclude(arrived.attempt, arrived.exchange, arrived.err)
		case <-late.C:
			if second = h.hedge(first, tried); second != nil {
				service := c.service
				go func() { charged <- h.chargeHedge(c.ctx, service) }()
			}
		case charge := <-charged:
			if charge == "" {
				second.ticket.Release()
				second = nil
				continue
			}
			begun, c.sent = true, true
			defer second.finish()
			hedges.Inc()
			c.addRepeat(decision.Hedge, charge)
			second.begin()
			second.sendAsync(attempt+1, results)
			defer second.cancel()
		}
	}
}

func (h *Handler) chargeHedge(ctx context.Context, service string) route.Charge {
	if h.cfg.Budget == nil {
		return route.Uncharged
	}
	return h.cfg.Budget.AllowHedge(ctx, service)
}

// noHedgeDelay is longer than any request lasts.
const noHedgeDelay = time.Hour

func (h *Handler) hedgeDelay(c *call) time.Duration {
	if delay := h.cfg.Router.HedgeDelay(c.service, c.rule.Contract().Aim()); delay > 0 {
		return delay
	}
	return noHedgeDelay
}

// hedge returns a dispatch to another instance, or nil if none has spare
// capacity or the contract allows no further attempt.
func (h *Handler) hedge(first *dispatch, tried []instance.ID) *dispatch {
	c := first.c
	if h.cfg.Suspects.Suspect(c.fingerprint) { // suspects run one at a time
		return nil
	}
	if maxAttempts := c.rule.Contract().Attempts(); maxAttempts > 0 && c.sentTo(len(tried)+2) > maxAttempts {
		return nil
	}
	exclude := append(append([]instance.ID{}, tried...), first.target.ID())
	ticket := h.cfg.Router.Try(route.NewQuery(c.service, c.rule.Contract(), c.caller, h.cfg.Zone, exclude...).WithOrganisation(c.organisation).WithRanks(c.keyed))
	if ticket == nil {
		return nil
	}
	return &dispatch{h: h, c: c, ticket: ticket, target: ticket.Instance(), recorder: first.recorder}
}

// sendAsync sends the request in a goroutine, with a context of its own.
func (d *dispatch) sendAsync(attempt int, results chan<- exchangeResult) {
	d.ctx, d.cancel = context.WithCancel(d.c.ctx)
	go func() {
		exchange, err := d.send(attempt)
		results <- exchangeResult{d: d, attempt: attempt, exchange: exchange, err: err}
	}()
}

// concludeHedged forwards the first acceptable response of two exchanges, or the
// last one if neither is acceptable.
func concludeHedged(arrived exchangeResult, results <-chan exchangeResult, first, second *dispatch) result {
	other := first
	if arrived.d == first {
		other = second
	}
	if !arrived.acceptable() {
		last := <-results
		if last.acceptable() {
			arrived.discard()
			return last.win(first)
		}
		arrived.discard()
		return last.d.conclude(last.attempt, last.exchange, last.err)
	}
	other.cancel()
	other.report = route.Report{HedgeCancelled: true, Latency: time.Since(other.started)}
	go func() {
		if loser := <-results; loser.exchange != nil {
			loser.exchange.Close()
		}
	}()
	return arrived.win(first)
}

func (r exchangeResult) win(first *dispatch) result {
	if r.d != first {
		hedgesWon.Inc()
	}
	return r.d.conclude(r.attempt, r.exchange, r.err)
}

// discard reports on an exchange whose response is not forwarded.
func (r exchangeResult) discard() {
	r.d.report.Latency = time.Since(r.d.started)
	r.d.c.dispatched = true
	r.d.c.exchanges--
	if r.err != nil {
		r.d.exchangeProblem(r.err)
		return
	}
	defer r.exchange.Close()
	response := r.exchange.Response()
	r.d.report.Leaving = r.d.c.dialect.isLeaving(response.Header)
	r.d.report.Refused = r.d.c.dialect.Refused(response.StatusCode, response.Header)
	r.d.report.Failed = !r.d.report.Refused
}
