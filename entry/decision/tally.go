package decision

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// tallyKey names one counter of requests by outcome.
type tallyKey struct {
	service string
	outcome string
	reason  string
}

// tally counts decided requests. Services are those that a rule names, so that
// callers cannot make series at will.
type tally struct {
	counters sync.Map // tallyKey to *metrics.Counter
}

func (t *tally) count(d *Decision) {
	if d.Kind != Route {
		return
	}
	key := tallyKey{service: d.Service, outcome: d.Outcome, reason: d.Problem}
	if d.Rule == "" {
		key.service = "" // no rule names it
	}
	counter, ok := t.counters.Load(key)
	if !ok {
		name := fmt.Sprintf(`snipebeam_requests_total{service=%q,outcome=%q,reason=%q}`, key.service, key.outcome, key.reason)
		counter, _ = t.counters.LoadOrStore(key, metrics.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}
