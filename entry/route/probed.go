package route

// ProbeReport is what came of a probe.
type ProbeReport struct {
	Answered bool
	Healthy  bool    // as the instance says
	HasLoad  bool    // the answer told of the load
	Requests int     // in slots and waiting, valid if Told
	Slowdown float64 // time that work takes now, as a multiple of the usual; 0 if not told
}

// RecordProbe learns from a probe. What an instance says of its own health decides
// nothing; one that does not answer is weighed down, and ejected after some
// times.
func (r *Router) RecordProbe(m Member, report ProbeReport) {
	now := r.clock()
	d := r.Dispatcher(m.instance.Service())
	view := r.views.Load(m.instance.Service())
	switch {
	case report.HasLoad:
		m.load.RecordProbe(report.Requests, report.Slowdown, now)
		if view != nil && report.Slowdown > 0 {
			view.norm.told(report.Slowdown)
		}
	case !report.Answered:
		m.load.addPenalty(1, normOf(view), now)
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
