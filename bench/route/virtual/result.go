package virtual

import (
	"math"
	"sort"
	"time"
)

// drainPeriod is how long a run continues after the last arrival.
const drainPeriod = int64(10 * time.Second)

// Result holds the outcome counts and latencies of a run. They exclude requests
// that arrive during the warm-up; Sent and QueueNs include them.
type Result struct {
	scenario Scenario
	latency  []float64 // nanoseconds, of successful responses
	sorted   bool
	runs     int // number of merged runs, 0 for a single one
	Failed   int // error responses, time-outs and requests on a crashed host
	Shed     int // rejected by an entry host before dispatch
	Late     int // responses after the deadline
	InTime   int
	Offered  int
	ProbeNs  float64         // slot time spent on probes
	Sent     []map[int64]int // by instance: requests dispatched in each sentWindow
	QueueNs  float64         // time in the entry hosts' queues, sum over all requests
}

func newResult(s Scenario) *Result {
	return &Result{scenario: s, Sent: make([]map[int64]int, s.Instances)}
}

// isMeasured reports whether an arrival is after the warm-up.
func (r *Result) isMeasured(arrivedAt int64) bool { return arrivedAt >= int64(r.scenario.Warmup) }

// recordResponse records the end of a request.
func (r *Result) recordResponse(arrivedAt, now int64, failed bool) {
	if !r.isMeasured(arrivedAt) {
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

func (r *Result) recordShed(arrivedAt int64) {
	if r.isMeasured(arrivedAt) {
		r.Offered++
		r.Shed++
	}
}

// sentWindow is the bucket width of the counts of dispatched requests.
const sentWindow = int64(10 * time.Millisecond)

func (r *Result) recordSent(instance int, now int64) {
	if r.Sent[instance] == nil {
		r.Sent[instance] = map[int64]int{}
	}
	r.Sent[instance][now/sentWindow]++
}

// Quantile returns a quantile of the latency of successful responses in
// milliseconds, NaN if there are none.
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

// Goodput returns the rate of responses within the deadline as a share of the
// instances' capacity.
func (r *Result) Goodput() float64 {
	s := r.scenario
	capacity := float64(s.Instances*s.Slots) / float64(s.Mean) * float64(s.Duration-s.Warmup) * float64(max(r.runs, 1))
	return float64(r.InTime) / capacity
}

// DetectionMs returns the time in milliseconds from a fault until the request rate
// of the instance has dropped to half of its previous rate or less and stays
// there for the rest of the second after the fault. The time is that of the end
// of the first such window.
func (r *Result) DetectionMs(target int, at time.Duration) float64 {
	first := int64(at) / sentWindow
	before := 0
	for w := first - detectionWindows; w < first; w++ {
		before += r.Sent[target][w]
	}
	baseline := float64(before) / detectionWindows
	detected := first
	for w := first; w < first+detectionWindows; w++ {
		if float64(r.Sent[target][w]) > baseline/2 {
			detected = w + 1
		}
	}
	return float64((detected+1-first)*sentWindow) / float64(time.Millisecond)
}

// detectionWindows is the number of windows compared before and after a fault.
const detectionWindows = 100

// ProbeShare returns the share of the instances' slot time spent on probes.
func (r *Result) ProbeShare() float64 {
	s := r.scenario
	return r.ProbeNs / (float64(s.Instances*s.Slots) * float64(s.Duration-s.Warmup) * float64(max(r.runs, 1)))
}

// Merge adds the requests of another run of the same scenario.
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
	r.QueueNs += other.QueueNs
	for n, counts := range other.Sent {
		if r.Sent[n] == nil {
			r.Sent[n] = map[int64]int{}
		}
		for at, count := range counts {
			r.Sent[n][at] += count
		}
	}
}
