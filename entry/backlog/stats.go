package backlog

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// stats counts arrivals and completions and holds the state of the detector.
type stats struct {
	pending     int // current requests
	minPending  int // minimum of pending since the last sample
	arrivals    uint64
	completions uint64
	failures    uint64
	bytes       uint64 // of request and response bodies, without bulk requests
	bulkBytes   uint64 // the same of bulk requests only

	lastSample counts
	rates      rates
	detector   Detector
	alarm      *Alarm
	idleSince  time.Time
}

// counts are the running totals at one point in time.
type counts struct {
	at          time.Time
	arrivals    uint64
	completions uint64
	failures    uint64
	bytes       uint64
	bulkBytes   uint64
}

// rates are per second, smoothed over rateWindow.
type rates struct {
	arrivals    float64
	completions float64
	failures    float64
	bytes       float64
	bulkBytes   float64
}

// rateWindow is the averaging window of rates.
const rateWindow = 2 * time.Second

func (st *stats) arrive() {
	st.pending++
	st.arrivals++
}

func (st *stats) complete(failed bool) {
	st.pending--
	st.completions++
	st.minPending = min(st.minPending, st.pending)
	if failed {
		st.failures++
	}
}

// sample returns the changes since the last sample and updates the rates.
func (st *stats) sample(now time.Time) Sample {
	s := Sample{
		At: now, Pending: st.pending, MinPending: st.minPending,
		Arrivals: int(st.arrivals - st.lastSample.arrivals), Completions: int(st.completions - st.lastSample.completions),
	}
	failed := int(st.failures - st.lastSample.failures)
	if !st.lastSample.at.IsZero() {
		d := now.Sub(st.lastSample.at)
		st.rates.update(d, s.Arrivals, s.Completions, failed)
		st.rates.updateBytes(d, int(st.bytes-st.lastSample.bytes), int(st.bulkBytes-st.lastSample.bulkBytes))
	}
	st.lastSample = counts{at: now, arrivals: st.arrivals, completions: st.completions, failures: st.failures, bytes: st.bytes, bulkBytes: st.bulkBytes}
	st.minPending = st.pending
	return s
}

func (r *rates) update(d time.Duration, arrivals, completions, failures int) {
	if d <= 0 {
		return
	}
	r.arrivals = smooth(d, r.arrivals, arrivals)
	r.completions = smooth(d, r.completions, completions)
	r.failures = smooth(d, r.failures, failures)
}

// updateBytes updates the rates of body bytes.
func (r *rates) updateBytes(d time.Duration, bytes, bulk int) {
	if d <= 0 {
		return
	}
	r.bytes = smooth(d, r.bytes, bytes)
	r.bulkBytes = smooth(d, r.bulkBytes, bulk)
}

// smooth moves a rate towards that of the last interval: a first-order
// low-pass filter with time constant rateWindow.
func smooth(d time.Duration, old float64, n int) float64 {
	return old + min(1, float64(d)/float64(rateWindow))*(float64(n)/d.Seconds()-old)
}

func (st *stats) message(service string) *wire.ServiceBacklog {
	msg := &wire.ServiceBacklog{
		Service: service, ArrivalsPerS: st.rates.arrivals, CompletionsPerS: st.rates.completions, ErrorsPerS: st.rates.failures, BytesPerS: st.rates.bytes, BulkBytesPerS: st.rates.bulkBytes,
	}
	if st.alarm != nil {
		msg.Growing = true
		msg.Since = st.alarm.Since.UnixNano()
		msg.Owner, msg.Reason = st.alarm.Owner, st.alarm.Reason
		msg.Cause = string(st.alarm.Cause)
	}
	return msg
}
