package route

import (
	"math"

	"github.com/VictoriaMetrics/metrics"
)

var leavingSeen = metrics.GetOrCreateCounter("snipebeam_instances_leaving_by_response_total")

// recordAttempt updates the load and health of an instance, and the statistics of
// its service, from a finished attempt.
func (d *Dispatcher) recordAttempt(t *Ticket, report Report, now int64) {
	load := t.member.load
	if report.Leaving && !load.leaving.Swap(true) {
		leavingSeen.Inc()
	}
	if report.Answered {
		d.recordRateLimit(t.member, report.RateLimit, now)
	}
	slots := float64(t.member.instance.Slots())
	maxLimit := slots + maxHeadroom
	view := d.router.views.Load(d.service)
	if report.HasReportedLoad && !report.Failed {
		load.checkReport(report.ReportedLoad, float64(report.Latency), latencyAt(view, report.ReportedLoad, slots))
		load.SetReported(report.ReportedLoad, now)
	}
	latency := meanLatency(view)
	if report.Slowdown > 0 {
		load.setSlowdown(report.Slowdown, now)
		if view != nil {
			view.stats.observeSlowdown(report.Slowdown, now)
		}
	}
	if report.HedgeCancelled {
		load.observeLowerBound(load.work.elapsed(t.work, float64(report.Latency), now), now)
		return
	}
	if report.Refused && !report.Unreachable {
		load.shrink(maxLimit)
		load.addPenalty(1, latency, now)
		return
	}
	if report.Failed || report.Unreachable {
		load.shrink(maxLimit)
		load.addPenalty(slots, latency, now)
		if load.health.fail(now) {
			d.eject(view, load, now)
		}
		return
	}
	load.health.succeed(now)
	load.grow(maxLimit, t.member.instance.Cold())
	service := load.observe(load.work.elapsed(t.work, float64(report.Latency), now), t.inFlight, slots, now)
	if view != nil {
		view.stats.observe(service)
		view.stats.recordCompletion(now)
		t.served(service)
	}
}

// slowdownWeight is the EWMA weight of a newly reported slowdown in the mean of the
// service.
const slowdownWeight = 0.05

func meanLatency(view *View) float64 {
	if view == nil {
		return 0
	}
	return view.stats.Latency()
}

// latencyAt returns the expected latency at a reported load, 0 if unknown.
func latencyAt(view *View, reported int, slots float64) float64 {
	if view == nil {
		return 0
	}
	return view.stats.Latency() * max(1, float64(reported+1)/slots)
}

// eject ejects an instance unless too many are already ejected.
func (d *Dispatcher) eject(view *View, load *Load, now int64) {
	if view == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ejected := 0
	for n := range view.members {
		if l := view.members[n].load; l != load && !view.members[n].evacuated && l.health.state(now) == Ejected {
			ejected++
		}
	}
	if ejected+1 > d.maxEjected(view) {
		return
	}
	load.health.eject(now)
}

// maxEjected returns how many instances of a view may be ejected at the same time. Those in
// evacuated zones do not count: they are no alternative to ejected ones.
func (d *Dispatcher) maxEjected(view *View) int {
	return int(math.Floor(float64(view.staying) * d.router.limits.MaxEjected))
}

func (d *Dispatcher) releaseEjected(view *View, now int64) {
	left := d.maxEjected(view)
	for n := range view.members {
		h := &view.members[n].load.health
		if view.members[n].evacuated || h.state(now) != Ejected {
			continue
		}
		if left == 0 {
			h.release(now)
			continue
		}
		left--
	}
}
