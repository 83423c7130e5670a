package backlog

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded latencies.
const (
	highestLatency     = 10 * time.Minute
	latencyDigits      = 2
	windowLength       = 10 * time.Second
	quantileInterval   = time.Second
	percentile50       = 50
	percentile99       = 99
	percentile999      = 99.9
	microsecond        = int64(time.Microsecond)
	fewestForQuantiles = 10
)

// window holds the latencies of the last one to two window lengths.
type window struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	from     time.Time
	asOf     time.Time // when the quantiles were computed
	p50      time.Duration
	p99      time.Duration
	p999     time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(highestLatency/time.Microsecond), latencyDigits)
}

func (w *window) record(d time.Duration) {
	if w.current == nil {
		w.current, w.previous = newHistogram(), newHistogram()
	}
	// A value beyond the range is clamped, so that recording cannot fail.
	_ = w.current.RecordValue(min(max(int64(d)/microsecond, 1), int64(highestLatency/time.Microsecond)))
}

// refresh recomputes the quantiles and begins a new window when one is due.
func (w *window) refresh(now time.Time) {
	if w.current == nil || now.Sub(w.asOf) < quantileInterval {
		return
	}
	w.asOf = now
	w.compute()
	if now.Sub(w.from) < windowLength {
		return
	}
	w.from = now
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
}

// compute sets the quantiles, zeros if too few requests ended.
func (w *window) compute() {
	both := newHistogram()
	both.Merge(w.current)
	both.Merge(w.previous)
	w.p50, w.p99, w.p999 = 0, 0, 0
	if both.TotalCount() < fewestForQuantiles {
		return
	}
	at := func(q float64) time.Duration { return time.Duration(both.ValueAtQuantile(q) * microsecond) }
	w.p50, w.p99, w.p999 = at(percentile50), at(percentile99), at(percentile999)
}
