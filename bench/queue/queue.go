// Package queue is a small fake of the requests behind one instance, or behind
// a pool of slots, in virtual time: arrivals at a changing rate, lognormal
// service, slots that can slow down.
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

// Config describes the arrivals and the slots.
type Config struct {
	Slots int
	Mean  time.Duration // of a request's service
	Sigma float64       // of the lognormal service time
	// LongShare is the share of requests that take LongFactor times as long.
	LongShare  float64
	LongFactor float64
	// Rate returns the arrivals a second at a time since the start.
	Rate func(at time.Duration) float64
	// MaxRate bounds Rate.
	MaxRate float64
	// Slowdown returns the factor on service times, nil for none.
	Slowdown func(at time.Duration) float64
}

// start is the virtual time of the first arrival's clock.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Queue is the fake.
type Queue struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	nextIn  time.Duration
	waiting []time.Duration // arrival times
	running departures

	floor       int
	arrivals    int
	completions int
	answers     []time.Duration // times to an answer in the current window
	typical     time.Duration
}

// New returns a queue with a seed of its own.
func New(cfg Config, seed uint64) *Queue {
	q := &Queue{cfg: cfg, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
	q.nextIn = q.gap()
	return q
}

// Now returns the virtual time since the start.
func (q *Queue) Now() time.Duration { return q.now }

// Pending returns the requests that wait or are in service.
func (q *Queue) Pending() int { return len(q.waiting) + len(q.running) }

func (q *Queue) gap() time.Duration {
	return time.Duration(q.random.ExpFloat64() / q.cfg.MaxRate * float64(time.Second))
}

// Sample advances the time by an interval and returns what happened in it.
func (q *Queue) Sample(interval time.Duration) backlog.Sample {
	until := q.now + interval
	q.floor, q.arrivals, q.completions = q.Pending(), 0, 0
	for q.step(until) {
	}
	q.now = until
	return backlog.Sample{
		At: start.Add(q.now), Pending: q.Pending(), MinPending: q.floor, Arrivals: q.arrivals,
		Completions: q.completions, OldestAge: q.oldest(), ResponseP99: q.quantile(),
	}
}

// step runs the next event before a time, if there is one.
func (q *Queue) step(until time.Duration) bool {
	if len(q.running) > 0 && q.running[0].at <= min(q.nextIn, until) {
		q.depart()
		return true
	}
	if q.nextIn > until {
		return false
	}
	q.now = q.nextIn
	q.nextIn += q.gap()
	if q.random.Float64()*q.cfg.MaxRate < q.cfg.Rate(q.now) {
		q.arrivals++
		q.waiting = append(q.waiting, q.now)
		q.fill()
	}
	return true
}

func (q *Queue) depart() {
	done := heap.Pop(&q.running).(departure)
	q.now = done.at
	q.completions++
	q.answers = append(q.answers, done.at-done.arrived)
	q.floor = min(q.floor, q.Pending())
	q.fill()
}

func (q *Queue) fill() {
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

func (q *Queue) oldest() time.Duration {
	oldest := q.now
	for _, one := range q.running {
		oldest = min(oldest, one.arrived)
	}
	if len(q.waiting) > 0 {
		oldest = min(oldest, q.waiting[0])
	}
	return q.now - oldest
}

// typicalWindow is how many answers the 99th percentile is taken of.
const typicalWindow = 500

// quantile returns the 99th percentile of the time to an answer.
func (q *Queue) quantile() time.Duration {
	if len(q.answers) >= typicalWindow {
		q.typical = percentile99(q.answers)
		q.answers = q.answers[:0]
	}
	return q.typical
}

type departure struct {
	at      time.Duration
	arrived time.Duration
}

type departures []departure

func (h departures) Len() int           { return len(h) }
func (h departures) Less(i, j int) bool { return h[i].at < h[j].at }
func (h departures) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an element for container/heap.
func (h *departures) Push(x any) { *h = append(*h, x.(departure)) }

// Pop removes the last element for container/heap.
func (h *departures) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
