package decision

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counterKey names one counter of requests by outcome.
type counterKey struct {
	service string
	outcome string
	reason  string
}

// outcomeCounters counts decided requests. Services are those that a rule names, so that
// callers cannot make series at will.
type outcomeCounters struct {
	byKey sync.Map // tallyKey to *metrics.Counter
}

func (t *outcomeCounters) count(d *Decision) {
	if d.Kind != Route {
		return
	}
	key := counterKey{service: d.Service, outcome: d.Outcome, reason: d.Problem}
	if d.Rule == "" {
		key.service = "" // no rule names it
	}
	counter, ok := t.byKey.Load(key)
	if !ok {
		name := fmt.Sprintf(`snipebeam_requests_total{service=%q,outcome=%q,reason=%q}`, key.service, key.outcome, key.reason)
		counter, _ = t.byKey.LoadOrStore(key, metrics.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}
