package virtual

// job is a request in a slot or in the queue of an instance.
type job struct {
	remaining float64 // nanoseconds at speed 1
	updatedAt int64   // when remaining was last updated
	version   int
	done      func(reported int)
}

// upstream is a simulated instance with slots, a FIFO queue and a varying speed.
type upstream struct {
	clock           *clock
	zone            int
	slots           int
	speed           float64
	slowdown        float64
	failFast        bool
	misreportedLoad int // reported in place of the actual load, if misreports is set
	misreports      bool
	running         []*job
	queue           []*job
}

func (s Scenario) upstreams(c *clock) []*upstream {
	all := make([]*upstream, s.Instances)
	for n := range all {
		u := &upstream{clock: c, zone: n % s.Zones, slots: s.Slots, slowdown: 1}
		draws := s.speedSource(n)
		u.speed = draws.draw()
		first := draws.phase(s.SpeedPeriod)
		all[n] = u
		var redraw func()
		redraw = func() {
			u.updateSpeed(func() { u.speed = draws.draw() })
			c.after(int64(s.SpeedPeriod), redraw)
		}
		c.at(first, redraw)
	}
	return all
}

// updateSpeed changes the speed and reschedules the end of the running jobs.
func (u *upstream) updateSpeed(apply func()) {
	for _, j := range u.running {
		j.remaining -= float64(u.clock.now-j.updatedAt) * u.rate()
		j.updatedAt = u.clock.now
	}
	apply()
	for _, j := range u.running {
		u.schedule(j)
	}
}

func (u *upstream) rate() float64 { return u.speed / u.slowdown }

// schedule schedules the end of a job at the current speed, and invalidates the
// end that was scheduled before.
func (u *upstream) schedule(j *job) {
	j.version++
	version := j.version
	u.clock.after(int64(max(j.remaining, 0)/u.rate())+1, func() {
		if j.version == version {
			u.finish(j)
		}
	})
}

// serve starts work in a free slot, or queues it.
func (u *upstream) serve(work float64, done func(reported int)) {
	j := &job{remaining: work, done: done}
	if len(u.running) < u.slots {
		u.start(j)
		return
	}
	u.queue = append(u.queue, j)
}

func (u *upstream) start(j *job) {
	j.updatedAt = u.clock.now
	u.running = append(u.running, j)
	u.schedule(j)
}

func (u *upstream) finish(j *job) {
	j.version++
	for n, one := range u.running {
		if one == j {
			u.running = append(u.running[:n], u.running[n+1:]...)
			break
		}
	}
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.start(next)
	}
	j.done(u.load())
}

// load returns the load that the instance reports.
func (u *upstream) load() int {
	if u.misreports {
		return u.misreportedLoad
	}
	return len(u.running) + len(u.queue)
}
