package route

import (
	"math"
	"sync/atomic"
	"time"
)

// Constants of the load estimates.
const (
	serviceTimeWeight  = 0.12                            // EWMA weight of a new sample of an instance's service time
	meanLatencyWeight  = 0.005                           // EWMA weight of a new sample of the service's mean latency
	estimateHalfLife   = 100 * time.Millisecond          // age at which an estimate has half its weight
	peakDecay          = float64(100 * time.Millisecond) // time constant, nanoseconds
	penaltyDecay       = float64(200 * time.Millisecond) // time constant, nanoseconds
	maxPenalty         = 30.0                            // additional requests in flight
	remoteWeight       = 0.3                             // EWMA weight of a new report
	reportHalfLife     = 20 * time.Millisecond           // age at which a report has half its weight
	reportTolerance    = 2.0                             // requests by which a report may be below the local in-flight count
	minLatencyShare    = 0.2                             // share of the expected latency below which a report counts as contradictory
	ignoreReportsAfter = 8                               // consecutive contradictory reports
)

// atomicFloat is a float64 with lock-free access.
type atomicFloat struct{ bits atomic.Uint64 }

func (v *atomicFloat) get() float64  { return math.Float64frombits(v.bits.Load()) }
func (v *atomicFloat) set(x float64) { v.bits.Store(math.Float64bits(x)) }

func (v *atomicFloat) update(change func(old float64) float64) {
	for {
		old := v.bits.Load()
		if v.bits.CompareAndSwap(old, math.Float64bits(change(math.Float64frombits(old)))) {
			return
		}
	}
}

// updateEWMA adds a sample to the exponentially weighted moving average; the first
// sample replaces the zero value.
func (v *atomicFloat) updateEWMA(sample, weight float64) {
	v.update(func(old float64) float64 {
		if old == 0 {
			return sample
		}
		return old + weight*(sample-old)
	})
}

// ServiceStats holds the statistics of a whole service as observed by this host.
type ServiceStats struct {
	latency         atomicFloat // mean service time, nanoseconds
	spread          atomicFloat // mean deviation of the latency, nanoseconds
	gap             atomicFloat // mean time between completions, nanoseconds
	lastSuccess     atomic.Int64
	rate            atomicFloat  // successful responses per second, decayed over rateDecay
	slowdown        atomicFloat  // mean of the reported slowdowns
	notSlowAt       atomic.Int64 // time of the last report of no slow moment
	latencySamples  sampleCounter
	slowdownSamples sampleCounter
	kinds           kinds
}

// Latency returns the mean service time in nanoseconds, 0 if unknown.
func (s *ServiceStats) Latency() float64 { return s.latency.get() }

// LastSuccess returns the time of the last successful response, 0 if there was none.
func (s *ServiceStats) LastSuccess() int64 { return s.lastSuccess.Load() }

func (s *ServiceStats) observe(service float64) {
	weight := s.latencySamples.weight(meanLatencyWeight)
	s.latency.updateEWMA(service, weight)
	s.spread.updateEWMA(math.Abs(service-s.latency.get()), weight)
}

// observeSlowdown adds a slowdown that an instance reported.
func (s *ServiceStats) observeSlowdown(slowdown float64, now int64) {
	if slowdown < slowMomentSlowdown {
		s.notSlowAt.Store(now)
	}
	s.slowdown.updateEWMA(slowdown, s.slowdownSamples.weight(slowdownWeight))
}

// slow reports whether the service is slow as a whole.
func (s *ServiceStats) slow(now int64) bool {
	return now-s.notSlowAt.Load() >= int64(slowServiceAfter)
}

// sampleCounter counts the samples of an average.
type sampleCounter struct{ n atomic.Int64 }

// weight returns the weight of the next sample. It starts as that of an arithmetic
// mean, so that early samples do not dominate the average.
func (s *sampleCounter) weight(floor float64) float64 { return max(floor, 1/float64(s.n.Add(1))) }

// rateDecay is the time constant of the exponential decay of the response rate.
const rateDecay = 3 * time.Second

// Rate returns the recent rate of successful responses per second.
func (s *ServiceStats) Rate(now int64) float64 {
	return s.rate.get() * math.Exp(-float64(now-s.lastSuccess.Load())/float64(rateDecay))
}

func (s *ServiceStats) recordCompletion(now int64) {
	rate := s.Rate(now) + 1/rateDecay.Seconds()
	s.rate.set(rate)
	if last := s.lastSuccess.Swap(now); last != 0 && now > last {
		s.gap.updateEWMA(float64(now-last), 0.02)
	}
}

// Load is this host's estimate of one instance's load. It outlives views; its zero
// value is an estimate without any observation.
type Load struct {
	inFlight   atomic.Int32
	reported   atomic.Int64
	reportedAt atomic.Int64
	remote     atomicFloat // requests of other hosts: the reported load less the local in-flight count
	service    atomicFloat // service time, nanoseconds, normalised by the in-flight requests at dispatch
	serviceAt  atomic.Int64
	peak       atomicFloat // peak-sensitive EWMA of the latency, nanoseconds
	penalty    atomicFloat // recent failures, expressed as additional requests in flight
	penaltyAt  atomic.Int64
	limit      atomicFloat // adaptive in-flight limit, 0 before the first result
	health     health

	slowdown   atomicFloat // last reported multiple of the usual service time
	slowdownAt atomic.Int64
	slowSince  atomic.Int64 // time of the first of the last reports of a slow moment, 0 for none
	probedAt   atomic.Int64 // time of the last pre-dispatch probe, Unix nanoseconds
	work       workClock
	rateLimit  announcedLimit
	warmup     warmup
	leaving    atomic.Bool // a response stated that this incarnation of the instance leaves
}

// InFlight returns the requests that this host has in flight at the instance.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Latency returns the normalised service time, 0 if unknown.
func (l *Load) Latency() time.Duration { return time.Duration(l.service.get()) }

// LatencyAt returns when the service time was last updated, 0 if never.
func (l *Load) LatencyAt() int64 { return l.serviceAt.Load() }

// Reported returns the load that the instance last reported and the time of the
// report, which is 0 if there was none.
func (l *Load) Reported() (load int, at int64) {
	return int(l.reported.Load()), l.reportedAt.Load()
}

// SetReported records a load that the instance reported.
func (l *Load) SetReported(load int, at int64) {
	l.reported.Store(int64(load))
	l.reportedAt.Store(at)
}

// checkReport updates the estimate of other hosts' requests from a load report and
// checks its plausibility. A report is contradictory if it is below the local
// in-flight count by more than the tolerance, which covers requests that have not
// reached the instance yet, or if the response was much faster than the reported
// load allows. expected is the latency at the reported load.
func (l *Load) checkReport(reported int, latency, expected float64) {
	sample := float64(reported) - float64(l.inFlight.Load()-1)
	l.remote.updateEWMA(sample, remoteWeight)
	if sample < -reportTolerance || latency < expected*minLatencyShare {
		l.health.contradictions.Add(1)
	} else {
		l.health.contradictions.Store(0)
	}
}

// ReportsIgnored reports whether the instance's load reports are ignored because
// they contradict local observations.
func (l *Load) ReportsIgnored() bool { return l.health.contradictions.Load() >= ignoreReportsAfter }

// slowdownHalfLife is the half-life of a reported slowdown. Instances on shared
// hosts change speed several times a second.
const slowdownHalfLife = 100 * time.Millisecond

// setSlowdown records the instance's current service time as a multiple of the
// usual one.
func (l *Load) setSlowdown(slowdown float64, at int64) {
	if slowdown <= 0 {
		return
	}
	l.work.setSlowdown(slowdown, at)
	l.slowdown.set(slowdown)
	if slowdown < slowMomentSlowdown {
		l.slowSince.Store(0)
	} else {
		l.slowSince.CompareAndSwap(0, at)
	}
	l.slowdownAt.Store(at)
}

// Constants of slow moments.
const (
	slowMomentSlowdown = 2.5                    // slowdown from which an instance takes no request for a moment
	slowMomentTime     = 150 * time.Millisecond // time for which a reported slowdown counts as one
	// maxSlowMoment is the time after which an instance is slow and not only for a moment.
	maxSlowMoment = 2 * time.Second
	// slowServiceAfter is the time without a report of another speed after which a service
	// is slow as a whole, and no request is better off if it waits.
	slowServiceAfter = 500 * time.Millisecond
)

// slowMoment reports whether the instance reported just now that work takes a multiple of
// the usual time. Its speed changes several times a second, so that a request is better
// off if it waits for another slot or the next change.
func (l *Load) slowMoment(now int64) bool {
	since := l.slowSince.Load()
	return since != 0 && now-l.slowdownAt.Load() < int64(slowMomentTime) && now-since < int64(maxSlowMoment)
}

// slowdownNow returns the expected slowdown. An old report decays towards the mean
// of the service.
func (l *Load) slowdownNow(mean float64, now int64) float64 {
	at := l.slowdownAt.Load()
	if at == 0 {
		return max(mean, 1)
	}
	mean = max(mean, 1)
	return mean + (l.slowdown.get()-mean)*math.Exp2(-float64(now-at)/float64(slowdownHalfLife))
}

// RecordProbe records the load that a probe returned, and the slowdown, which is 0
// if the instance did not report it.
func (l *Load) RecordProbe(reported int, slowdown float64, at int64) {
	l.setSlowdown(slowdown, at)
	l.remote.set(float64(reported) - float64(l.inFlight.Load()))
	l.SetReported(reported, at)
}

// remoteInFlight returns the estimated requests of other hosts, discounted by the
// age of the report.
func (l *Load) remoteInFlight(serviceLatency float64, now int64) float64 {
	at := l.reportedAt.Load()
	if at == 0 || l.ReportsIgnored() {
		return 0
	}
	return max(l.remote.get(), 0) * ageWeight(now-at, scaleTime(reportHalfLife, serviceLatency))
}

// referenceLatency is the service time up to which the time constants above apply
// unscaled. They grow in proportion to the service time of a slower service.
const referenceLatency = float64(5 * time.Millisecond)

// scaleTime scales a time constant to the mean latency of a service.
func scaleTime(d time.Duration, serviceLatency float64) time.Duration {
	return time.Duration(float64(d) * max(1, serviceLatency/referenceLatency))
}

// ageWeight returns the weight of an observation of the given age.
func ageWeight(age int64, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(halfLife))
}

func (l *Load) penaltyNow(serviceLatency float64, now int64) float64 {
	p := l.penalty.get()
	if p == 0 {
		return 0
	}
	return p * math.Exp(-float64(now-l.penaltyAt.Load())/(penaltyDecay*max(1, serviceLatency/referenceLatency)))
}

func (l *Load) addPenalty(n, serviceLatency float64, now int64) {
	l.penalty.set(min(l.penaltyNow(serviceLatency, now)+n, maxPenalty))
	l.penaltyAt.Store(now)
}

// serviceTime returns the estimate of the instance's service time. An old estimate
// decays towards the mean latency of the service.
func (l *Load) serviceTime(serviceLatency float64, now int64) float64 {
	s := l.service.get()
	if s == 0 || serviceLatency == 0 {
		return serviceLatency
	}
	return serviceLatency + (s-serviceLatency)*ageWeight(now-l.serviceAt.Load(), scaleTime(estimateHalfLife, serviceLatency))
}

// observe updates the estimates from the latency of a successful response and
// returns the normalised service time.
func (l *Load) observe(latency, inFlight, slots float64, now int64) float64 {
	service := latency / max(1, inFlight/slots)
	l.service.updateEWMA(service, serviceTimeWeight)
	l.serviceAt.Store(now)
	l.observePeak(latency, now)
	return service
}

// observeLowerBound updates the service time from a request that had not completed
// within the given time.
func (l *Load) observeLowerBound(service float64, now int64) {
	if service > l.service.get() {
		l.service.updateEWMA(service, serviceTimeWeight)
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
