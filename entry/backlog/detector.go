package backlog

import (
	"math"
	"time"
)

// Cause is the test that raised an alarm.
type Cause string

// Causes of an alarm.
const (
	Rising    Cause = "rising"    // the minimum of pending requests rises from span to span, beyond random variation
	Aging     Cause = "aging"     // the age of the oldest request rises from span to span, far above the baseline
	Standing  Cause = "standing"  // the minimum of pending requests is several times the slots over a long span
	Stalled   Cause = "stalled"   // requests wait and none completes for far longer than the baseline
	Threshold Cause = "threshold" // the count and age limits of the rule are reached
)

// Sample is the state of a queue and its changes since the previous sample.
type Sample struct {
	At          time.Time
	Pending     int // current requests
	MinPending  int // minimum of Pending since the previous sample
	Arrivals    int
	Completions int
	OldestAge   time.Duration // of the oldest waiting request
	ResponseP99 time.Duration // 99th percentile of the response time, 0 if unknown
}

// Limits are the capacity and the alarm thresholds that samples are compared with.
type Limits struct {
	Slots int           // requests that the instances run concurrently
	Count int           // threshold of the rule, 0 for none
	Age   time.Duration // threshold of the rule
}

// SampleInterval is the time between two samples.
const SampleInterval = 50 * time.Millisecond

const (
	minSpan              = 350 * time.Millisecond
	staggeredSpans       = 3 // additional spans of the shortest length, each started later than the one before
	staggerSamples       = 2 // samples by which the start of each is delayed
	spanCount            = 8 // each is twice as long as the previous one
	spansCompared        = 5
	minRiseShare         = 0.25 // of the mean rise; the least for each single rise
	agingFactor          = 4.0  // of the baseline response time
	baselineTimeConstant = time.Minute
	significanceFactor   = 5.0 // standard deviations of the random change
	varianceWeight       = 0.05
	minVarianceSpans     = 10 // spans until the estimated variance is used
	standingRounds       = 5  // multiples of the slots
	minStandingSpan      = 11200 * time.Millisecond
	stalledAge           = time.Second
	stalledFactor        = 8 // of the baseline response time
	clearAfter           = 5 * time.Second
)

// Detector distinguishes a burst from a trend. A burst raises the number of
// pending requests and lets it fall again; a trend raises the minimum of each
// span above that of the previous span. Spans from 0.35 s to 45 s are evaluated
// in parallel, and each rise is compared with the random variation of a flow in
// equilibrium. The zero value is ready for use.
type Detector struct {
	spans          [spanCount + staggeredSpans]span
	samples        int
	lastCompletion time.Time     // time of the last sample with a completion
	baseline       time.Duration // moving average of ResponseP99
	lastSample     time.Time
	cause          Cause
	since          time.Time
	peak           int
	calmSince      time.Time
}

// span aggregates samples over one length of time.
type span struct {
	start        time.Time
	startPending int     // at the start of the span
	variance     float64 // estimate, of the change of pending over a span
	minPending   int
	minAge       time.Duration // minimum age of the oldest request
	events       int           // arrivals plus completions
	open         bool
	history      [spansCompared]closedSpan
	closed       int
}

type closedSpan struct {
	minPending int
	minAge     time.Duration
	events     int
	start      time.Time
	variance   float64 // estimate before the span, 0 if not yet available
}

// Observe evaluates one sample. While a backlog is growing or standing, it
// returns the cause and the start; otherwise the cause is empty.
func (d *Detector) Observe(s Sample, limits Limits) (Cause, time.Time) {
	cause, since := d.evaluate(s, limits)
	if d.cause != "" {
		d.clear(s, limits, cause != "")
		return d.cause, d.since
	}
	if cause != "" {
		d.cause, d.since, d.peak = cause, since, s.Pending
		d.calmSince = time.Time{}
	}
	return d.cause, d.since
}

// Restore reinstates an alarm that was raised before a restart.
func (d *Detector) Restore(cause Cause, since time.Time) { d.cause, d.since = cause, since }

// evaluate closes the spans that have elapsed and runs the tests.
func (d *Detector) evaluate(s Sample, limits Limits) (Cause, time.Time) {
	cause, since := Cause(""), time.Time{}
	d.updateBaseline(s)
	for n := range d.spans {
		if d.samples < stagger(n) {
			continue
		}
		length := spanLength(n)
		if d.spans[n].add(s, length) && cause == "" {
			cause, since = d.spans[n].evaluate(length, d.baseline, limits)
		}
	}
	d.samples++
	if cause != "" {
		return cause, since
	}
	if d.stalled(s, limits) {
		return Stalled, s.At.Add(-s.OldestAge)
	}
	if limits.Count > 0 && s.Pending >= limits.Count && s.OldestAge >= limits.Age {
		return Threshold, s.At.Add(-s.OldestAge)
	}
	return "", time.Time{}
}

// updateBaseline moves the baseline towards the current response time. The time
// constant is long, so that a growing backlog does not soon count as normal.
func (d *Detector) updateBaseline(s Sample) {
	if d.baseline == 0 {
		d.baseline = s.ResponseP99
	}
	if !d.lastSample.IsZero() && d.cause == "" {
		weight := min(1, float64(s.At.Sub(d.lastSample))/float64(baselineTimeConstant))
		d.baseline += time.Duration(weight * float64(s.ResponseP99-d.baseline))
	}
	d.lastSample = s.At
}

// stagger returns the number of samples before span n starts.
func stagger(n int) int { return max(n-spanCount+1, 0) * staggerSamples }

// spanLength returns the length of span n.
func spanLength(n int) time.Duration {
	if n >= spanCount {
		return minSpan
	}
	return minSpan << n
}

// stalled reports whether requests wait and none has completed for far longer
// than the baseline response time.
func (d *Detector) stalled(s Sample, limits Limits) bool {
	if s.Completions > 0 || s.Pending <= limits.Slots || d.lastCompletion.IsZero() {
		d.lastCompletion = s.At
	}
	limit := max(stalledAge, stalledFactor*d.baseline)
	return d.baseline > 0 && s.At.Sub(d.lastCompletion) >= limit && s.OldestAge >= limit
}

// clear ends an alarm once the number of requests has been low for clearAfter.
func (d *Detector) clear(s Sample, limits Limits, raised bool) {
	d.peak = max(d.peak, s.Pending)
	calm := !raised && s.Pending <= max(limits.Slots, d.peak/2) && (limits.Count == 0 || s.Pending < limits.Count || s.OldestAge < limits.Age)
	if !calm {
		d.calmSince = time.Time{}
		return
	}
	if d.calmSince.IsZero() {
		d.calmSince = s.At
	}
	if s.At.Sub(d.calmSince) >= clearAfter {
		*d = Detector{}
	}
}

// add adds a sample and reports whether it closed the span.
func (sp *span) add(s Sample, length time.Duration) bool {
	if !sp.open {
		sp.open = true
		sp.begin(s)
		return false
	}
	sp.minPending = min(sp.minPending, s.MinPending)
	sp.minAge = min(sp.minAge, s.OldestAge)
	sp.events += s.Arrivals + s.Completions
	if s.At.Sub(sp.start) < length {
		return false
	}
	sp.close(s)
	sp.begin(s)
	return true
}

func (sp *span) begin(s Sample) {
	sp.start, sp.startPending, sp.minPending, sp.minAge, sp.events = s.At, s.Pending, s.Pending, s.OldestAge, 0
}

func (sp *span) close(s Sample) {
	c := closedSpan{minPending: sp.minPending, minAge: sp.minAge, events: sp.events, start: sp.start}
	if sp.closed >= minVarianceSpans {
		c.variance = sp.variance
	}
	copy(sp.history[:], sp.history[1:])
	sp.history[spansCompared-1] = c
	sp.closed++
	delta := float64(s.Pending - sp.startPending)
	weight := max(varianceWeight, 1/float64(sp.closed))
	sp.variance += weight * (delta*delta - sp.variance)
}

func (sp *span) evaluate(length, baseline time.Duration, limits Limits) (Cause, time.Time) {
	first, last := sp.history[0], sp.history[spansCompared-1]
	if length >= minStandingSpan && last.minPending >= standingRounds*max(limits.Slots, 1) {
		return Standing, last.start
	}
	if sp.closed < spansCompared || last.minPending <= limits.Slots {
		return "", time.Time{}
	}
	if sp.aging(baseline) {
		return Aging, first.start
	}
	if sp.rising() && sp.significant() {
		return Rising, first.start
	}
	return "", time.Time{}
}

// aging reports whether the age of the oldest request rose from span to span
// and is far above the baseline, while the number of requests rose too.
func (sp *span) aging(baseline time.Duration) bool {
	for n := 1; n < spansCompared; n++ {
		if sp.history[n].minAge <= sp.history[n-1].minAge {
			return false
		}
	}
	last := sp.history[spansCompared-1]
	return baseline > 0 && sp.rising() && float64(last.minAge) >= agingFactor*float64(baseline)
}

// rising reports whether the minimum of pending requests rose in each span, by
// at least minRiseShare of the mean rise. This excludes the single jump of a burst.
func (sp *span) rising() bool {
	rise := sp.history[spansCompared-1].minPending - sp.history[0].minPending
	minRise := minRiseShare * float64(rise) / (spansCompared - 1)
	for n := 1; n < spansCompared; n++ {
		step := sp.history[n].minPending - sp.history[n-1].minPending
		if step <= 0 || float64(step) < minRise {
			return false
		}
	}
	return true
}

// significant reports whether the rise exceeds random variation. The variance is
// the one estimated before the rise or, until it is available, that of a flow in
// equilibrium with as many arrivals and completions.
func (sp *span) significant() bool {
	variance := 0.0
	for _, c := range sp.history {
		variance += float64(c.events)
	}
	if estimated := sp.history[0].variance; estimated > 0 {
		variance = estimated * spansCompared
	}
	rise := sp.history[spansCompared-1].minPending - sp.history[0].minPending
	return float64(rise) >= significanceFactor*math.Sqrt(variance)
}
