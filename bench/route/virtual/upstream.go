package virtual

// job is work in one slot of an instance.
type job struct {
	left    float64 // nanoseconds at speed 1
	since   int64   // when left was last brought up to date
	version int
	done    func(reported int)
}

// upstream is an instance: slots, a queue, and a speed that shifts.
type upstream struct {
	clock    *clock
	zone     int
	slots    int
	speed    float64
	slowdown float64
	failFast bool
	lie      int // reported whatever the load is, if lies
	lies     bool
	running  []*job
	queue    []*job
	busy     float64 // nanoseconds of slots used by probes
}

func (s Scenario) upstreams(c *clock) []*upstream {
	all := make([]*upstream, s.Instances)
	for n := range all {
		u := &upstream{clock: c, zone: n % s.Zones, slots: s.Slots, slowdown: 1}
		draws := s.speedsOf(n)
		u.speed = draws.draw()
		first := draws.phase(s.SpeedPeriod)
		all[n] = u
		var redraw func()
		redraw = func() {
			u.change(func() { u.speed = draws.draw() })
			c.after(int64(s.SpeedPeriod), redraw)
		}
		c.at(first, redraw)
	}
	return all
}

// change applies a change of speed to the work in hand.
func (u *upstream) change(apply func()) {
	for _, j := range u.running {
		j.left -= float64(u.clock.now-j.since) * u.rate()
		j.since = u.clock.now
	}
	apply()
	for _, j := range u.running {
		u.schedule(j)
	}
}

func (u *upstream) rate() float64 { return u.speed / u.slowdown }

func (u *upstream) schedule(j *job) {
	j.version++
	version := j.version
	u.clock.after(int64(max(j.left, 0)/u.rate())+1, func() {
		if j.version == version {
			u.finish(j)
		}
	})
}

// serve runs work in a slot, or queues it.
func (u *upstream) serve(work float64, done func(reported int)) {
	j := &job{left: work, done: done}
	if len(u.running) < u.slots {
		u.start(j)
		return
	}
	u.queue = append(u.queue, j)
}

func (u *upstream) start(j *job) {
	j.since = u.clock.now
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

// load is what the instance reports.
func (u *upstream) load() int {
	if u.lies {
		return u.lie
	}
	return len(u.running) + len(u.queue)
}
