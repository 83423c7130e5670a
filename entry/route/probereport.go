package route

// ProbeReport is the result of a probe.
type ProbeReport struct {
	Answered bool
	Healthy  bool    // as the instance reports
	HasLoad  bool    // the response contained the load
	Requests int     // running and queued, valid if HasLoad
	Slowdown float64 // current service time as a multiple of the usual one, 0 if not reported
	Warmup   Warmup  // for how long the instance stays cold
}

// RecordProbe updates the load and health of an instance from a probe. The health
// that the instance reports is ignored. An instance that does not respond is
// penalised, and ejected after repeated failures.
func (r *Router) RecordProbe(m Member, report ProbeReport) {
	now := r.clock()
	d := r.Dispatcher(m.instance.Service())
	view := r.views.Load(m.instance.Service())
	m.load.warmup.state(m.instance, report.Warmup, now)
	switch {
	case report.HasLoad:
		m.load.RecordProbe(report.Requests, report.Slowdown, now)
		if view != nil && report.Slowdown > 0 {
			view.stats.observeSlowdown(report.Slowdown, now)
		}
	case !report.Answered:
		m.load.addPenalty(1, meanLatency(view), now)
		if m.load.health.fail(now) {
			d.eject(view, m.load, now)
		}
	}
	if d.waiting.Load() > 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.dispatch(now)
	}
}
