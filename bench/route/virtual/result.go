package virtual

import (
	"math"
	"sort"
	"time"
)

// drainTime is how long a run goes on after the last arrival.
const drainTime = int64(10 * time.Second)

// Result is what came of a run.
type Result struct {
	scenario Scenario
	latency  []float64 // nanoseconds, of good answers
	sorted   bool
	runs     int // merged, 0 for one
	Failed   int // answered with an error, or lost with a host
	Shed     int // refused by an entry host before it was sent
	Late     int // answered after the deadline
	InTime   int
	Offered  int
	ProbeNs  float64         // slot time that probes took
	Sent     []map[int64]int // by instance: requests sent in each 10 ms
	QueueNs  float64         // nanoseconds, sum over all requests
}

func newResult(s Scenario) *Result {
	return &Result{scenario: s, Sent: make([]map[int64]int, s.Instances)}
}

func (r *Result) counts(arrivedAt int64) bool { return arrivedAt >= int64(r.scenario.Warmup) }

// answer records a request's end.
func (r *Result) answer(arrivedAt, now int64, failed bool) {
	if !r.counts(arrivedAt) {
		return
	}
	r.Offered++
	if failed {
		r.Failed++
		return
	}
	took := now - arrivedAt
	r.latency = append(r.latency, float64(took))
	if r.scenario.Deadline > 0 && took > int64(r.scenario.Deadline) {
		r.Late++
		return
	}
	r.InTime++
}

func (r *Result) shed(arrivedAt int64) {
	if r.counts(arrivedAt) {
		r.Offered++
		r.Shed++
	}
}

// window is the width of the counts of sent requests.
const window = int64(10 * time.Millisecond)

func (r *Result) sent(instance int, now int64) {
	if r.Sent[instance] == nil {
		r.Sent[instance] = map[int64]int{}
	}
	r.Sent[instance][now/window]++
}

// Quantile returns a quantile of the latency of good answers in milliseconds.
func (r *Result) Quantile(q float64) float64 {
	if len(r.latency) == 0 {
		return math.NaN()
	}
	if !r.sorted {
		sort.Float64s(r.latency)
		r.sorted = true
	}
	at := int(math.Ceil(q*float64(len(r.latency)))) - 1
	return r.latency[max(at, 0)] / float64(time.Millisecond)
}

// Goodput returns answers in time a second over the instances' capacity.
func (r *Result) Goodput() float64 {
	s := r.scenario
	capacity := float64(s.Instances*s.Slots) / float64(s.Mean) * float64(s.Duration-s.Warmup) * float64(max(r.runs, 1))
	return float64(r.InTime) / capacity
}

// DetectionMs returns how long after a fault it takes until the instance gets half
// of the requests that it got before or fewer, and no more than that again for
// a second: the end of the first such window, in milliseconds.
func (r *Result) DetectionMs(target int, at time.Duration) float64 {
	first := int64(at) / window
	before := 0
	for w := first - noticeWindows; w < first; w++ {
		before += r.Sent[target][w]
	}
	usual := float64(before) / noticeWindows
	noticed := first
	for w := first; w < first+noticeWindows; w++ {
		if float64(r.Sent[target][w]) > usual/2 {
			noticed = w + 1
		}
	}
	return float64((noticed+1-first)*window) / float64(time.Millisecond)
}

// noticeWindows is how many windows around a fault are looked at.
const noticeWindows = 100

// ProbeShare returns the share of the instances' slot time that probes took.
func (r *Result) ProbeShare() float64 {
	s := r.scenario
	return r.ProbeNs / (float64(s.Instances*s.Slots) * float64(s.Duration-s.Warmup) * float64(max(r.runs, 1)))
}

// Merge adds another run's requests.
func (r *Result) Merge(other *Result) {
	r.latency = append(r.latency, other.latency...)
	r.sorted = false
	r.runs = max(r.runs, 1) + max(other.runs, 1)
	r.Failed += other.Failed
	r.Shed += other.Shed
	r.Late += other.Late
	r.InTime += other.InTime
	r.Offered += other.Offered
	r.ProbeNs += other.ProbeNs
	for n, counts := range other.Sent {
		if r.Sent[n] == nil {
			r.Sent[n] = map[int64]int{}
		}
		for at, count := range counts {
			r.Sent[n][at] += count
		}
	}
}
