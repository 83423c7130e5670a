package virtual

// RunCentralQueue runs the scenario's arrivals through one shared queue with perfect
// knowledge: a request takes the free slot that answers first, or the first slot
// that becomes free. While it waits, it travels.
func RunCentralQueue(s Scenario) *Result {
	s = s.WithDefaults()
	c := &clock{}
	all := s.upstreams(c)
	result := newResult(s)
	q := &central{clock: c, upstreams: all, result: result, reserved: make([]int, s.Instances), scenario: s}
	for _, one := range s.arrivals() {
		c.at(one.at, func() { q.arrive(one) })
	}
	c.run(int64(s.Duration) + drainTime)
	return result
}

type central struct {
	clock     *clock
	upstreams []*upstream
	result    *Result
	scenario  Scenario
	queue     []arrival
	reserved  []int
}

// delay is the way to an instance; the queue stands in the first zone.
func (q *central) delay(n int) int64 {
	if q.upstreams[n].zone == 0 {
		return int64(q.scenario.SameZone)
	}
	return int64(q.scenario.OtherZone)
}

// cost is the time that a request would take in a free slot.
func (q *central) cost(n int, a arrival) float64 {
	return 2*float64(q.delay(n)) + a.work/q.upstreams[n].rate()
}

func (q *central) arrive(a arrival) {
	best := -1
	for n, u := range q.upstreams {
		free := q.reserved[n] < u.slots
		if free && (best < 0 || q.cost(n, a) < q.cost(best, a)) {
			best = n
		}
	}
	if best < 0 {
		q.queue = append(q.queue, a)
		return
	}
	q.take(best, a)
}

// take reserves a slot and starts when the request has arrived there.
func (q *central) take(n int, a arrival) {
	q.reserved[n]++
	start := max(q.clock.now, a.at+q.delay(n))
	q.clock.at(start, func() {
		q.upstreams[n].serve(a.work, func(int) { q.finish(n, a) })
	})
}

func (q *central) finish(n int, a arrival) {
	q.result.answer(a.at, q.clock.now+q.delay(n), false)
	q.reserved[n]--
	if len(q.queue) == 0 {
		return
	}
	next := q.queue[0]
	q.queue = q.queue[1:]
	q.take(n, next)
}
