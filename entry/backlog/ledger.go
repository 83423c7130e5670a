package backlog

import (
	"time"

	"github.com/snipebeam/snipebeam/world/wire"
)

// ledger counts arrivals and ends, and holds what the trend test found.
type ledger struct {
	present     int // requests now
	floor       int // fewest requests since the last sample
	arrivals    uint64
	completions uint64
	failures    uint64
	bytes       uint64 // of bodies, in both directions
	bulk        uint64 // the same of large bodies

	sampled  counts // at the last sample
	rates    rates
	detector Detector
	alarm    *Alarm
	idleFrom time.Time
}

// counts are running totals at a moment.
type counts struct {
	at          time.Time
	arrivals    uint64
	completions uint64
	failures    uint64
	bytes       uint64
	bulk        uint64
}

// rates are per second, smoothed over rateSpan.
type rates struct {
	arrivals    float64
	completions float64
	failures    float64
	bytes       float64
	bulk        float64
}

// rateSpan is the time over which rates are smoothed.
const rateSpan = 2 * time.Second

func (l *ledger) arrive() {
	l.present++
	l.arrivals++
}

func (l *ledger) complete(failed bool) {
	l.present--
	l.completions++
	l.floor = min(l.floor, l.present)
	if failed {
		l.failures++
	}
}

// sample returns the flow since the last sample.
func (l *ledger) sample(now time.Time) Sample {
	s := Sample{
		At: now, Pending: l.present, MinPending: l.floor,
		Arrivals: int(l.arrivals - l.sampled.arrivals), Completions: int(l.completions - l.sampled.completions),
	}
	failed := int(l.failures - l.sampled.failures)
	if !l.sampled.at.IsZero() {
		d := now.Sub(l.sampled.at)
		l.rates.advance(d, s.Arrivals, s.Completions, failed)
		l.rates.carry(d, int(l.bytes-l.sampled.bytes), int(l.bulk-l.sampled.bulk))
	}
	l.sampled = counts{at: now, arrivals: l.arrivals, completions: l.completions, failures: l.failures, bytes: l.bytes, bulk: l.bulk}
	l.floor = l.present
	return s
}

func (r *rates) advance(d time.Duration, arrivals, completions, failures int) {
	if d <= 0 {
		return
	}
	r.arrivals = smooth(d, r.arrivals, arrivals)
	r.completions = smooth(d, r.completions, completions)
	r.failures = smooth(d, r.failures, failures)
}

// carry takes the bytes of bodies.
func (r *rates) carry(d time.Duration, bytes, bulk int) {
	if d <= 0 {
		return
	}
	r.bytes = smooth(d, r.bytes, bytes)
	r.bulk = smooth(d, r.bulk, bulk)
}

// smooth moves a rate towards that of the last span of time.
func smooth(d time.Duration, old float64, n int) float64 {
	return old + min(1, float64(d)/float64(rateSpan))*(float64(n)/d.Seconds()-old)
}

func (l *ledger) line(service string) *wire.ServiceBacklog {
	line := &wire.ServiceBacklog{
		Service: service, ArrivalsPerS: l.rates.arrivals, CompletionsPerS: l.rates.completions, ErrorsPerS: l.rates.failures, BytesPerS: l.rates.bytes, BulkBytesPerS: l.rates.bulk,
	}
	if l.alarm != nil {
		line.Growing = true
		line.Since = l.alarm.Since.UnixNano()
		line.Owner, line.Reason = l.alarm.Owner, l.alarm.Reason
		line.Cause = string(l.alarm.Cause)
	}
	return line
}
