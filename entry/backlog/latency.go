package backlog

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Constants of the latency histograms.
const (
	maxLatency         = 10 * time.Minute
	latencyDigits      = 2
	windowLength       = 10 * time.Second
	quantileInterval   = time.Second
	percentile50       = 50
	percentile99       = 99
	percentile999      = 99.9
	microsecond        = int64(time.Microsecond)
	minQuantileSamples = 10
)

// latencyWindow holds the latencies of the last one to two periods of
// windowLength.
type latencyWindow struct {
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	from        time.Time
	quantilesAt time.Time // time of the last computation
	p50         time.Duration
	p99         time.Duration
	p999        time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/time.Microsecond), latencyDigits)
}

func (w *latencyWindow) record(d time.Duration) {
	if w.current == nil {
		w.current, w.previous = newHistogram(), newHistogram()
	}
	// Clamping to the range of the histogram makes RecordValue infallible.
	_ = w.current.RecordValue(min(max(int64(d)/microsecond, 1), int64(maxLatency/time.Microsecond)))
}

// refresh recomputes the quantiles and rotates the histograms when due.
func (w *latencyWindow) refresh(now time.Time) {
	if w.current == nil || now.Sub(w.quantilesAt) < quantileInterval {
		return
	}
	w.quantilesAt = now
	w.compute()
	if now.Sub(w.from) < windowLength {
		return
	}
	w.from = now
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
}

// compute sets the quantiles, or zeros if fewer than minQuantileSamples
// requests have completed.
func (w *latencyWindow) compute() {
	merged := newHistogram()
	merged.Merge(w.current)
	merged.Merge(w.previous)
	w.p50, w.p99, w.p999 = 0, 0, 0
	if merged.TotalCount() < minQuantileSamples {
		return
	}
	at := func(q float64) time.Duration { return time.Duration(merged.ValueAtQuantile(q) * microsecond) }
	w.p50, w.p99, w.p999 = at(percentile50), at(percentile99), at(percentile999)
}
