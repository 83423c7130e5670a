package backlog

import (
	"math"
	"time"
)

// Cause says which test raised an alarm.
type Cause string

// Causes of an alarm.
const (
	Rising    Cause = "rising"    // the fewest requests rose from span to span by more than chance
	Aging     Cause = "aging"     // the oldest request's age rose from span to span beyond the usual
	Standing  Cause = "standing"  // the fewest requests stayed at several rounds of the slots
	Stalled   Cause = "stalled"   // requests wait and none has ended for far longer than usual
	Threshold Cause = "threshold" // the count and age that the rule names
)

// Sample is what happened since the sample before.
type Sample struct {
	At          time.Time
	Pending     int // requests now
	MinPending  int // fewest requests since the sample before
	Arrivals    int
	Completions int
	OldestAge   time.Duration // age of the oldest request that waits
	ResponseP99 time.Duration // 99th percentile of the time to an answer, 0 if unknown
}

// Limits are what a detector holds samples against.
type Limits struct {
	Slots int           // requests that the instances behind run at once
	Count int           // the rule's count, 0 for none
	Age   time.Duration // the rule's age
}

// SampleInterval is the time between two samples.
const SampleInterval = 50 * time.Millisecond

const (
	shortestSpan   = 350 * time.Millisecond
	staggered      = 3 // further copies of the shortest span, each begun a little later
	staggerSamples = 2
	spanCount      = 8 // each span is twice as long as the one before
	spansCompared  = 5
	evenShare      = 0.25 // of the mean rise, that each rise must have
	agingFactor    = 4.0  // of the usual time to an answer
	usualTime      = time.Minute
	chanceFactor   = 5.0 // standard deviations of the change over a span
	varianceWeight = 0.05
	varianceSpans  = 10 // spans after which the learnt variance is used
	standingRounds = 5  // rounds of the slots
	standingSpan   = 11200 * time.Millisecond
	stalledAge     = time.Second
	stalledFactor  = 8 // of the typical time to an answer
	clearTime      = 5 * time.Second
)

// Detector tells a burst from a trend. A burst raises the number of requests
// and lets it fall again; a trend raises the fewest requests of each span above
// that of the span before. Spans from 0.35 s to 45 s are compared at the same
// time, each rise against the chance rise of a flow that is in balance. The
// zero value is ready for use.
type Detector struct {
	spans    [spanCount + staggered]span
	samples  int
	ended    time.Time     // last sample with a completion
	usual    time.Duration // slowly moving Typical
	last     time.Time
	growing  Cause
	since    time.Time
	peak     int
	calmFrom time.Time
}

// span collects samples of one length.
type span struct {
	from     time.Time
	present  int     // when the span began
	variance float64 // of the change over a span, learnt
	floor    int
	age      time.Duration // least age of the oldest request
	flow     int           // arrivals and completions
	open     bool
	history  [spansCompared]closedSpan
	closed   int
}

type closedSpan struct {
	floor    int
	age      time.Duration
	flow     int
	from     time.Time
	variance float64 // as known before the span, 0 if not yet learnt
}

// Observe takes one sample and returns the cause while a backlog grows or
// stands, and when it began; the cause is empty otherwise.
func (d *Detector) Observe(s Sample, limits Limits) (Cause, time.Time) {
	cause, since := d.judge(s, limits)
	if d.growing != "" {
		d.clear(s, limits, cause != "")
		return d.growing, d.since
	}
	if cause != "" {
		d.growing, d.since, d.peak = cause, since, s.Pending
		d.calmFrom = time.Time{}
	}
	return d.growing, d.since
}

// Restore takes over an alarm that this host raised before a restart.
func (d *Detector) Restore(cause Cause, since time.Time) { d.growing, d.since = cause, since }

// judge closes the spans that have passed and runs the tests.
func (d *Detector) judge(s Sample, limits Limits) (Cause, time.Time) {
	cause, since := Cause(""), time.Time{}
	d.learn(s)
	for n := range d.spans {
		if d.samples < stagger(n) {
			continue
		}
		length := spanLength(n)
		if d.spans[n].add(s, length) && cause == "" {
			cause, since = d.spans[n].judge(length, d.usual, limits)
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

// learn moves the usual time to an answer slowly towards the latest one, so
// that a growing backlog does not soon look usual.
func (d *Detector) learn(s Sample) {
	if d.usual == 0 {
		d.usual = s.ResponseP99
	}
	if !d.last.IsZero() && d.growing == "" {
		weight := min(1, float64(s.At.Sub(d.last))/float64(usualTime))
		d.usual += time.Duration(weight * float64(s.ResponseP99-d.usual))
	}
	d.last = s.At
}

// stagger returns the samples after which a span begins.
func stagger(n int) int { return max(n-spanCount+1, 0) * staggerSamples }

// spanLength returns the length of a span.
func spanLength(n int) time.Duration {
	if n >= spanCount {
		return shortestSpan
	}
	return shortestSpan << n
}

// stalled reports whether requests wait and none has ended for far longer than
// an answer usually takes.
func (d *Detector) stalled(s Sample, limits Limits) bool {
	if s.Completions > 0 || s.Pending <= limits.Slots || d.ended.IsZero() {
		d.ended = s.At
	}
	limit := max(stalledAge, stalledFactor*d.usual)
	return d.usual > 0 && s.At.Sub(d.ended) >= limit && s.OldestAge >= limit
}

// clear ends an alarm once requests stayed few for a while.
func (d *Detector) clear(s Sample, limits Limits, raised bool) {
	d.peak = max(d.peak, s.Pending)
	calm := !raised && s.Pending <= max(limits.Slots, d.peak/2) && (limits.Count == 0 || s.Pending < limits.Count || s.OldestAge < limits.Age)
	if !calm {
		d.calmFrom = time.Time{}
		return
	}
	if d.calmFrom.IsZero() {
		d.calmFrom = s.At
	}
	if s.At.Sub(d.calmFrom) >= clearTime {
		*d = Detector{}
	}
}

// add takes a sample and reports whether the span was closed by it.
func (p *span) add(s Sample, length time.Duration) bool {
	if !p.open {
		p.open = true
		p.begin(s)
		return false
	}
	p.floor = min(p.floor, s.MinPending)
	p.age = min(p.age, s.OldestAge)
	p.flow += s.Arrivals + s.Completions
	if s.At.Sub(p.from) < length {
		return false
	}
	p.close(s)
	p.begin(s)
	return true
}

func (p *span) begin(s Sample) {
	p.from, p.present, p.floor, p.age, p.flow = s.At, s.Pending, s.Pending, s.OldestAge, 0
}

func (p *span) close(s Sample) {
	one := closedSpan{floor: p.floor, age: p.age, flow: p.flow, from: p.from}
	if p.closed >= varianceSpans {
		one.variance = p.variance
	}
	copy(p.history[:], p.history[1:])
	p.history[spansCompared-1] = one
	p.closed++
	change := float64(s.Pending - p.present)
	weight := max(varianceWeight, 1/float64(p.closed))
	p.variance += weight * (change*change - p.variance)
}

func (p *span) judge(length, usual time.Duration, limits Limits) (Cause, time.Time) {
	first, last := p.history[0], p.history[spansCompared-1]
	if length >= standingSpan && last.floor >= standingRounds*max(limits.Slots, 1) {
		return Standing, last.from
	}
	if p.closed < spansCompared || last.floor <= limits.Slots {
		return "", time.Time{}
	}
	if p.aging(usual) {
		return Aging, first.from
	}
	if p.rising() && p.beyondChance() {
		return Rising, first.from
	}
	return "", time.Time{}
}

// aging reports whether the oldest request grew older from span to span and is
// far older than usual, while requests became more.
func (p *span) aging(usual time.Duration) bool {
	for n := 1; n < spansCompared; n++ {
		if p.history[n].age <= p.history[n-1].age {
			return false
		}
	}
	last := p.history[spansCompared-1]
	return usual > 0 && p.rising() && float64(last.age) >= agingFactor*float64(usual)
}

// rising reports whether requests became more from span to span, each time by
// a fair part of the whole rise: the jump of a burst is not.
func (p *span) rising() bool {
	rise := p.history[spansCompared-1].floor - p.history[0].floor
	least := evenShare * float64(rise) / (spansCompared - 1)
	for n := 1; n < spansCompared; n++ {
		step := p.history[n].floor - p.history[n-1].floor
		if step <= 0 || float64(step) < least {
			return false
		}
	}
	return true
}

// beyondChance reports whether requests became more than the changes before
// the rise explain, or than a balanced flow explains while those are unknown.
func (p *span) beyondChance() bool {
	variance := 0.0
	for _, one := range p.history {
		variance += float64(one.flow)
	}
	if before := p.history[0].variance; before > 0 {
		variance = before * spansCompared
	}
	rise := p.history[spansCompared-1].floor - p.history[0].floor
	return float64(rise) >= chanceFactor*math.Sqrt(variance)
}
