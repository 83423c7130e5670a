package admission

import (
	"cmp"
	"math"
	"time"
)

// tiny stands for zero in a divisor.
const tiny = 1e-9

// Constants of the estimates of a flow.
const (
	fastTime    = 2.0  // time constant in seconds by which a step of the demand is seen
	slowTime    = 10.0 // time constant by which the chance in the arrivals of a small organisation is levelled
	stepSigmas  = 4.0  // standard deviations of the fast estimate from which a step is real
	learnTime   = 300.0
	unlearnTime = 1200.0 // of a flow above its usual rate: a burst must not become usual
	minWeight   = 0.05   // of the mean flow, for one that usually sends nothing
	forgetBelow = 1e-4   // requests a second
)

type flowKey struct {
	level        Level
	organisation string
}

func (k flowKey) compare(other flowKey) int {
	return cmp.Or(k.level.compare(other.level), cmp.Compare(k.organisation, other.organisation))
}

// flow is the demand of one organisation and level, in requests a second.
type flow struct {
	now        float64 // in the interval
	fast, slow float64
	usual      float64
}

// observe updates the estimates after an interval at the end of which the service is of
// the given age. The usual rate stays while demand is limited, except in a young service.
func (f *flow) observe(interval, age time.Duration, limited bool) {
	dt := interval.Seconds()
	f.fast += (f.now - f.fast) * (1 - math.Exp(-dt/fastTime))
	f.slow += (f.now - f.slow) * (1 - math.Exp(-dt/slowTime))
	// An average over a time constant T of Poisson arrivals of rate r has the variance r/(2T).
	deviation := math.Sqrt(max(f.slow, f.fast, 1/fastTime) / (2 * fastTime))
	if math.Abs(f.fast-f.slow) > stepSigmas*deviation {
		f.slow = f.fast
	}
	if limited && age.Seconds() > slowTime {
		return
	}
	constant := learnTime
	if f.now > f.usual {
		constant = unlearnTime
	}
	f.usual += (f.now - f.usual) * dt / max(min(constant, age.Seconds()), dt)
}

func (f *flow) forgotten() bool { return f.usual < forgetBelow && f.slow < forgetBelow }

// workTime is the time constant in seconds of the mean slot time of requests.
const workTime = 30.0

// minWorkSamples is how many requests a mean slot time needs.
const minWorkSamples = 10.0

// work is the slot time of the requests of one rank. Hosts cannot tell it from the time in
// the queue of an instance. So while demand is limited, and instances have queues, it rises
// only slowly.
type work struct {
	served, slots float64 // sums of recent requests
	time          float64 // seconds, 0 if unknown
}

func (w *work) add(interval time.Duration, d Demand) {
	w.served += d.Served * interval.Seconds()
	w.slots += d.Slots * interval.Seconds()
}

// update ends an interval.
func (w *work) update(interval time.Duration, limited bool) {
	if w.served >= minWorkSamples && w.slots > 0 {
		mean := w.slots / w.served
		if limited && w.time > 0 && mean > w.time {
			mean = w.time + (mean-w.time)*interval.Seconds()/learnTime
		}
		w.time = mean
	}
	factor := math.Exp(-interval.Seconds() / workTime)
	w.served *= factor
	w.slots *= factor
}

// mean returns the seconds for which a request occupies a slot, if enough were seen.
func (w *work) mean() (float64, bool) {
	if w == nil || w.time == 0 {
		return 0, false
	}
	return w.time, true
}
