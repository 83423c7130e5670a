package route

import "math"

// learn updates what is known of an instance from a finished attempt.
func (d *Dispatcher) learn(t *Ticket, report Report, now int64) {
	load := t.member.load
	slots := float64(t.member.instance.Slots())
	most := slots + maxHeadroom
	view := d.router.views.Load(d.service)
	if report.HasReportedLoad && !report.Failed {
		load.compare(report.ReportedLoad, float64(report.Latency), expectedAt(view, report.ReportedLoad, slots))
		load.SetReported(report.ReportedLoad, now)
	}
	norm := normOf(view)
	if report.Slowdown > 0 {
		load.setSpeed(report.Slowdown, now)
		if view != nil {
			view.norm.told(report.Slowdown)
		}
	}
	if report.HedgeCancelled {
		load.atLeast(load.pace.since(t.work, float64(report.Latency), now), now)
		return
	}
	if report.Refused && !report.ConnectionLost {
		load.shrink(most)
		load.addPenalty(1, norm, now)
		return
	}
	if report.Failed || report.ConnectionLost {
		load.shrink(most)
		load.addPenalty(slots, norm, now)
		if load.health.fail(now) {
			d.eject(view, load, now)
		}
		return
	}
	load.health.succeed(now)
	load.grow(most, t.member.instance.Cold())
	service := load.observe(load.pace.since(t.work, float64(report.Latency), now), t.level, slots, now)
	if view != nil {
		view.norm.observe(service)
		view.norm.completed(now)
	}
}

// speedWeight is the weight of a new report of an instance's speed in the mean
// of its service.
const speedWeight = 0.05

func normOf(view *View) float64 {
	if view == nil {
		return 0
	}
	return view.norm.Latency()
}

// expectedAt returns the mean latency at a reported load, 0 if unknown.
func expectedAt(view *View, reported int, slots float64) float64 {
	if view == nil {
		return 0
	}
	return view.norm.Latency() * max(1, float64(reported+1)/slots)
}

// eject ejects an instance unless too many are ejected already.
func (d *Dispatcher) eject(view *View, load *Load, now int64) {
	if view == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ejected := 0
	for n := range view.members {
		if l := view.members[n].load; l != load && l.health.state(now) == Ejected {
			ejected++
		}
	}
	if ejected+1 > d.mayEject(view) {
		return
	}
	load.health.eject(now)
}

// mayEject returns how many instances of a view may be ejected at once.
func (d *Dispatcher) mayEject(view *View) int {
	return int(math.Floor(float64(len(view.members)) * d.router.limits.MaxEjected))
}

func (d *Dispatcher) releaseEjected(view *View, now int64) {
	left := d.mayEject(view)
	for n := range view.members {
		h := &view.members[n].load.health
		if h.state(now) != Ejected {
			continue
		}
		if left == 0 {
			h.release(now)
			continue
		}
		left--
	}
}
