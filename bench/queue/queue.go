// Package queue simulates the queue of one instance, or of a pool of slots, in
// virtual time: Poisson arrivals at a varying rate, lognormal service times, and
// slots that can slow down.
//
// Usage:
//
//	q := queue.New(queue.Config{Slots: 3, Mean: 5 * time.Millisecond, Sigma: 0.8, Rate: rate}, seed)
//	for q.Now() < time.Hour { detector.Observe(q.Sample(interval), limits) }
package queue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/entry/backlog"
)

// Config describes the arrival process and the slots.
type Config struct {
	Slots int
	Mean  time.Duration // mean service time
	Sigma float64       // of the lognormal service time
	// LongShare is the share of requests whose service takes LongFactor times as
	// long.
	LongShare  float64
	LongFactor float64
	// Rate returns the arrivals per second at a time since the start.
	Rate func(at time.Duration) float64
	// MaxRate is an upper bound of Rate.
	MaxRate float64
	// Slowdown returns the factor on service times; nil stands for none.
	Slowdown func(at time.Duration) float64
}

// startTime is the wall-clock time at virtual time zero.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Queue is a simulated queue with its slots.
type Queue struct {
	cfg         Config
	random      *rand.Rand
	now         time.Duration
	nextArrival time.Duration
	waiting     []time.Duration // arrival times
	running     departures

	minPending  int
	arrivals    int
	completions int
	latencies   []time.Duration // response times in the current window
	p99         time.Duration
}

// New returns a queue with a random source of its own, so that a seed always gives
// the same run.
func New(cfg Config, seed uint64) *Queue {
	q := &Queue{cfg: cfg, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
	q.nextArrival = q.interArrival()
	return q
}

// Now returns the virtual time that has passed since the start.
func (q *Queue) Now() time.Duration { return q.now }

// Pending returns the number of requests that are queued or in service.
func (q *Queue) Pending() int { return len(q.waiting) + len(q.running) }

func (q *Queue) interArrival() time.Duration {
	return time.Duration(q.random.ExpFloat64() / q.cfg.MaxRate * float64(time.Second))
}

// Sample advances the time by an interval and returns the statistics of that
// interval.
func (q *Queue) Sample(interval time.Duration) backlog.Sample {
	until := q.now + interval
	q.minPending, q.arrivals, q.completions = q.Pending(), 0, 0
	for q.step(until) {
	}
	q.now = until
	return backlog.Sample{
		At: startTime.Add(q.now), Pending: q.Pending(), MinPending: q.minPending, Arrivals: q.arrivals,
		Completions: q.completions, OldestAge: q.oldestAge(), ResponseP99: q.latencyP99(),
	}
}

// step processes the next event up to a time and reports whether there was one.
// Arrivals are drawn at MaxRate and thinned to Rate.
func (q *Queue) step(until time.Duration) bool {
	if len(q.running) > 0 && q.running[0].at <= min(q.nextArrival, until) {
		q.depart()
		return true
	}
	if q.nextArrival > until {
		return false
	}
	q.now = q.nextArrival
	q.nextArrival += q.interArrival()
	if q.random.Float64()*q.cfg.MaxRate < q.cfg.Rate(q.now) {
		q.arrivals++
		q.waiting = append(q.waiting, q.now)
		q.startWaiting()
	}
	return true
}

func (q *Queue) depart() {
	done := heap.Pop(&q.running).(departure)
	q.now = done.at
	q.completions++
	q.latencies = append(q.latencies, done.at-done.arrived)
	q.minPending = min(q.minPending, q.Pending())
	q.startWaiting()
}

func (q *Queue) startWaiting() {
	for len(q.running) < q.cfg.Slots && len(q.waiting) > 0 {
		heap.Push(&q.running, departure{at: q.now + q.service(), arrived: q.waiting[0]})
		q.waiting = q.waiting[1:]
	}
}

func (q *Queue) service() time.Duration {
	s := q.cfg.Sigma
	d := float64(q.cfg.Mean) * math.Exp(s*q.random.NormFloat64()-s*s/2)
	if q.cfg.LongShare > 0 && q.random.Float64() < q.cfg.LongShare {
		d *= q.cfg.LongFactor
	}
	if q.cfg.Slowdown != nil {
		d *= q.cfg.Slowdown(q.now)
	}
	return time.Duration(d)
}

func (q *Queue) oldestAge() time.Duration {
	oldest := q.now
	for _, one := range q.running {
		oldest = min(oldest, one.arrived)
	}
	if len(q.waiting) > 0 {
		oldest = min(oldest, q.waiting[0])
	}
	return q.now - oldest
}

// p99Window is the number of responses for each estimate of the 99th percentile.
const p99Window = 500

// latencyP99 returns the 99th percentile of the response time in the last complete
// window.
func (q *Queue) latencyP99() time.Duration {
	if len(q.latencies) >= p99Window {
		q.p99 = percentile99(q.latencies)
		q.latencies = q.latencies[:0]
	}
	return q.p99
}

type departure struct {
	at      time.Duration
	arrived time.Duration
}

type departures []departure

func (h departures) Len() int           { return len(h) }
func (h departures) Less(i, j int) bool { return h[i].at < h[j].at }
func (h departures) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *departures) Push(x any) { *h = append(*h, x.(departure)) }

// Pop implements heap.Interface.
func (h *departures) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
