package decision

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counterKey identifies one counter of requests by outcome.
type counterKey struct {
	service string
	outcome string
	reason  string
}

// outcomeCounters counts requests by service, outcome and reason. Only services
// named by a rule get a label value, so that callers cannot create an unbounded
// number of time series.
type outcomeCounters struct {
	byKey sync.Map // counterKey to *metrics.Counter
}

func (c *outcomeCounters) countRepeats(d *Decision) {
	for _, r := range d.Repeats {
		metrics.GetOrCreateCounter(fmt.Sprintf(`snipebeam_repeats_total{service=%q,way=%q,charge=%q}`, d.Service, r.Way, r.Charge)).Inc()
	}
}

func (c *outcomeCounters) count(d *Decision) {
	if d.Kind != Route {
		return
	}
	key := counterKey{service: d.Service, outcome: d.Outcome, reason: d.Problem}
	c.countRepeats(d)
	if d.Rule == "" {
		key.service = "" // no rule names it
	}
	counter, ok := c.byKey.Load(key)
	if !ok {
		name := fmt.Sprintf(`snipebeam_requests_total{service=%q,outcome=%q,reason=%q}`, key.service, key.outcome, key.reason)
		counter, _ = c.byKey.LoadOrStore(key, metrics.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}
