package route

import (
	"math"
	"sync/atomic"
	"time"
)

// Constants of what is learnt from finished attempts.
const (
	latencyWeight    = 0.12                   // weight of a new sample of an instance's service time
	normWeight       = 0.005                  // weight of a new sample of the service's time
	estimateHalving  = 100 * time.Millisecond // age at which an estimate counts half
	peakDecay        = float64(100 * time.Millisecond)
	penaltyDecay     = float64(200 * time.Millisecond)
	maxPenalty       = 30.0
	othersWeight     = 0.3                   // weight of a new report
	reportHalving    = 20 * time.Millisecond // age at which a report counts half
	lieTolerance     = 2.0                   // requests by which a report may be below our own count
	soonestShare     = 0.2                   // of the expected latency, below which a report is not believed
	liesUntilIgnored = 8                     // in a row
)

// value is a float64 that is read and changed without a lock.
type value struct{ bits atomic.Uint64 }

func (v *value) get() float64  { return math.Float64frombits(v.bits.Load()) }
func (v *value) set(x float64) { v.bits.Store(math.Float64bits(x)) }

func (v *value) update(change func(old float64) float64) {
	for {
		old := v.bits.Load()
		if v.bits.CompareAndSwap(old, math.Float64bits(change(math.Float64frombits(old)))) {
			return
		}
	}
}

// average moves towards a sample; the first sample is taken whole.
func (v *value) average(sample, weight float64) {
	v.update(func(old float64) float64 {
		if old == 0 {
			return sample
		}
		return old + weight*(sample-old)
	})
}

// ServiceStats is the level of a whole service as this host sees it.
type ServiceStats struct {
	latency value // mean service time, nanoseconds
	spread  value // mean deviation of the latency, nanoseconds
	gap     value // mean time between completions, nanoseconds
	last    atomic.Int64
	rate    value // answers a second, over rateSpan
	speed   value // mean of what instances tell of their speed
	answers samples
	speeds  samples
}

// Latency returns the mean service time in nanoseconds, 0 if unknown.
func (n *ServiceStats) Latency() float64 { return n.latency.get() }

// LastSuccess returns when an instance last answered well, 0 if never.
func (n *ServiceStats) LastSuccess() int64 { return n.last.Load() }

func (n *ServiceStats) observe(service float64) {
	weight := n.answers.weight(normWeight)
	n.latency.average(service, weight)
	n.spread.average(math.Abs(service-n.latency.get()), weight)
}

// told takes a speed that an instance told of.
func (n *ServiceStats) told(speed float64) { n.speed.average(speed, n.speeds.weight(speedWeight)) }

// samples counts the samples of an average.
type samples struct{ n atomic.Int64 }

// weight returns the weight of the next sample: at first that of a plain mean, so
// that no early sample stands for long.
func (s *samples) weight(least float64) float64 { return max(least, 1/float64(s.n.Add(1))) }

// rateSpan is the time over which answers a second are counted.
const rateSpan = 3 * time.Second

// Rate returns the good answers a second of late.
func (n *ServiceStats) Rate(now int64) float64 {
	return n.rate.get() * math.Exp(-float64(now-n.last.Load())/float64(rateSpan))
}

func (n *ServiceStats) completed(now int64) {
	rate := n.Rate(now) + 1/rateSpan.Seconds()
	n.rate.set(rate)
	if last := n.last.Swap(now); last != 0 && now > last {
		n.gap.average(float64(now-last), 0.02)
	}
}

// Load is what this host knows of one instance's load. It outlives views; its
// zero value knows nothing.
type Load struct {
	inFlight   atomic.Int32
	reported   atomic.Int64
	reportedAt atomic.Int64
	others     value // requests of other hosts, from reports less our own count
	service    value // service time, nanoseconds, normalised by the level at dispatch
	serviceAt  atomic.Int64
	peak       value // peak-sensitive average of the latency, nanoseconds
	penalty    value // failures, as requests that are still in flight
	penaltyAt  atomic.Int64
	limit      value // requests that may be in flight, 0 before the first one
	health     health

	speed   value // time that work takes, as a multiple of the usual, as last told
	speedAt atomic.Int64
	askedAt atomic.Int64 // last look, Unix nanoseconds
	pace    pace
}

// InFlight returns the requests that this host has in flight at the instance.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Latency returns the normalised service time, 0 if unknown.
func (l *Load) Latency() time.Duration { return time.Duration(l.service.get()) }

// LatencyAt returns when the service time was last learnt, 0 if never.
func (l *Load) LatencyAt() int64 { return l.serviceAt.Load() }

// Reported returns the load that the instance last reported and when; the
// time is 0 if it never did.
func (l *Load) Reported() (load int, at int64) {
	return int(l.reported.Load()), l.reportedAt.Load()
}

// SetReported records a load that the instance reported.
func (l *Load) SetReported(load int, at int64) {
	l.reported.Store(int64(load))
	l.reportedAt.Store(at)
}

// compare learns from a report what other hosts have at the instance. A report
// is counted as a lie if it is below what we have there ourselves (requests on
// their way are not known to the instance yet), or if the answer came much
// sooner than such a load allows; expected is the latency at the reported load.
func (l *Load) compare(reported int, latency, expected float64) {
	sample := float64(reported) - float64(l.inFlight.Load()-1)
	l.others.average(sample, othersWeight)
	if sample < -lieTolerance || latency < expected*soonestShare {
		l.health.lies.Add(1)
	} else {
		l.health.lies.Store(0)
	}
}

// ReportsIgnored reports whether the instance's reports are ignored.
func (l *Load) ReportsIgnored() bool { return l.health.lies.Load() >= liesUntilIgnored }

// speedHalving is the age at which a told speed counts half: machines that are
// shared turn slow and fast again several times a second.
const speedHalving = 100 * time.Millisecond

// setSpeed records the time that work takes at the instance, as a multiple of
// the usual.
func (l *Load) setSpeed(speed float64, at int64) {
	if speed <= 0 {
		return
	}
	l.pace.advance(speed, at)
	l.speed.set(speed)
	l.speedAt.Store(at)
}

// speedNow returns the expected multiple of the usual time that work takes; an
// old report moves towards the mean of the service.
func (l *Load) speedNow(mean float64, now int64) float64 {
	at := l.speedAt.Load()
	if at == 0 {
		return max(mean, 1)
	}
	mean = max(mean, 1)
	return mean + (l.speed.get()-mean)*math.Exp2(-float64(now-at)/float64(speedHalving))
}

// RecordProbe records a load that a probe was told, and the speed, 0 if it was not
// told.
func (l *Load) RecordProbe(reported int, speed float64, at int64) {
	l.setSpeed(speed, at)
	l.others.set(float64(reported) - float64(l.inFlight.Load()))
	l.SetReported(reported, at)
}

// othersNow returns the requests of other hosts, less the older the report is.
func (l *Load) othersNow(norm float64, now int64) float64 {
	at := l.reportedAt.Load()
	if at == 0 || l.ReportsIgnored() {
		return 0
	}
	return max(l.others.get(), 0) * discount(now-at, scaled(reportHalving, norm))
}

// usualTime is the service time for which the constants above were found; they
// grow with the time of a slower service.
const usualTime = float64(5 * time.Millisecond)

// scaled returns a time constant for a service of another service time.
func scaled(d time.Duration, norm float64) time.Duration {
	return time.Duration(float64(d) * max(1, norm/usualTime))
}

// discount is the weight of what was known some time ago.
func discount(age int64, halving time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(halving))
}

func (l *Load) penaltyNow(norm float64, now int64) float64 {
	p := l.penalty.get()
	if p == 0 {
		return 0
	}
	return p * math.Exp(-float64(now-l.penaltyAt.Load())/(penaltyDecay*max(1, norm/usualTime)))
}

func (l *Load) addPenalty(n, norm float64, now int64) {
	l.penalty.set(min(l.penaltyNow(norm, now)+n, maxPenalty))
	l.penaltyAt.Store(now)
}

// serviceTime returns the estimate of the instance's service time; an old
// estimate moves towards the service's own level.
func (l *Load) serviceTime(norm float64, now int64) float64 {
	s := l.service.get()
	if s == 0 || norm == 0 {
		return norm
	}
	return norm + (s-norm)*discount(now-l.serviceAt.Load(), scaled(estimateHalving, norm))
}

// observe learns from the latency of a good answer.
func (l *Load) observe(latency, level, slots float64, now int64) float64 {
	service := latency / max(1, level/slots)
	l.service.average(service, latencyWeight)
	l.serviceAt.Store(now)
	l.observePeak(latency, now)
	return service
}

// atLeast learns from a request that had no answer after a time.
func (l *Load) atLeast(service float64, now int64) {
	if service > l.service.get() {
		l.service.average(service, latencyWeight)
		l.serviceAt.Store(now)
	}
}

func (l *Load) observePeak(latency float64, now int64) {
	age := float64(now - l.serviceAt.Load())
	l.peak.update(func(old float64) float64 {
		if latency > old {
			return latency
		}
		w := math.Exp(-age / peakDecay)
		return old*w + latency*(1-w)
	})
}
