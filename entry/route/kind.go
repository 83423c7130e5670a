package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipebeam/snipebeam/world/contract"
)

// Constants of the statistics of kinds of requests.
const (
	maxKinds       = 64   // of a service; kinds beyond it have the statistics of the service
	minKindSamples = 8    // from which a kind has statistics of its own
	kindWeight     = 0.02 // EWMA weight of a new sample
)

// kindKey identifies the requests that take about the same time: those of routes with the
// same terms. It outlives a version of the rules.
type kindKey struct {
	priority      contract.Priority
	aim, deadline time.Duration
}

// kindStats holds the service time of one kind of requests of a service. Nil is a kind
// without statistics.
type kindStats struct {
	latency atomicFloat // mean, nanoseconds
	spread  atomicFloat // mean deviation, nanoseconds
	samples sampleCounter
}

func (k *kindStats) observe(service float64) {
	if k == nil {
		return
	}
	weight := k.samples.weight(kindWeight)
	k.latency.updateEWMA(service, weight)
	k.spread.updateEWMA(math.Abs(service-k.latency.get()), weight)
}

func (k *kindStats) known() bool { return k != nil && k.samples.n.Load() >= minKindSamples }

// kinds holds the statistics of the kinds of one service. Its zero value is ready.
type kinds struct {
	current atomic.Pointer[map[kindKey]*kindStats]
	mu      sync.Mutex
}

// of returns the statistics of the request's kind, nil for none.
func (s *kinds) of(q *Query) *kindStats {
	if q.contract == nil {
		return nil
	}
	key := kindKey{priority: q.contract.Priority(), aim: q.contract.Aim(), deadline: q.contract.Deadline()}
	if all := s.current.Load(); all != nil && (*all)[key] != nil {
		return (*all)[key]
	}
	return s.add(key)
}

func (s *kinds) add(key kindKey) *kindStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[kindKey]*kindStats{}
	if all := s.current.Load(); all != nil {
		for other, stats := range *all {
			next[other] = stats
		}
	}
	if next[key] == nil && len(next) < maxKinds {
		next[key] = &kindStats{}
		s.current.Store(&next)
	}
	return next[key]
}

// expectation returns the expected time from dispatch to the response, nanoseconds.
type expectation func(w *Waiter) float64

// expectation returns that of the service, or of the request's kind if it is ranked: a
// mean over short and long requests would refuse urgent short ones while they could still
// be served.
func (d *Dispatcher) expectation(view *View) expectation {
	service := d.responseTime(view)
	return func(w *Waiter) float64 {
		if !w.query.ranked {
			return service
		}
		kind := view.stats.kinds.of(&w.query)
		if !kind.known() {
			return service
		}
		return kind.latency.get()*max(view.stats.slowdown.get(), 1) + spreadMargin*kind.spread.get()
	}
}
