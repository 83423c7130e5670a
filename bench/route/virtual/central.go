package virtual

// RunCentralQueue runs the arrivals of a scenario through one shared queue with
// perfect knowledge of all instances, as the ideal to compare policies with. A
// request takes the free slot that would respond first, or else the first slot
// that becomes free. Its network latency overlaps with its time in the queue.
func RunCentralQueue(s Scenario) *Result {
	s = s.WithDefaults()
	c := &clock{}
	all := s.upstreams(c)
	result := newResult(s)
	q := &centralQueue{clock: c, upstreams: all, result: result, reserved: make([]int, s.Instances), scenario: s}
	for _, one := range s.arrivals() {
		c.at(one.at, func() { q.arrive(one) })
	}
	c.run(int64(s.Duration) + drainPeriod)
	return result
}

type centralQueue struct {
	clock     *clock
	upstreams []*upstream
	result    *Result
	scenario  Scenario
	queue     []arrival
	reserved  []int
}

// delay returns the one-way latency to an instance; the queue is in the first
// zone.
func (q *centralQueue) delay(n int) int64 {
	if q.upstreams[n].zone == 0 {
		return int64(q.scenario.SameZone)
	}
	return int64(q.scenario.OtherZone)
}

// cost returns the response time of a request in a free slot.
func (q *centralQueue) cost(n int, a arrival) float64 {
	return 2*float64(q.delay(n)) + a.work/q.upstreams[n].rate()
}

func (q *centralQueue) arrive(a arrival) {
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
	q.assign(best, a)
}

// assign reserves a slot and starts the request when it arrives at the instance.
func (q *centralQueue) assign(n int, a arrival) {
	q.reserved[n]++
	start := max(q.clock.now, a.at+q.delay(n))
	q.clock.at(start, func() {
		q.upstreams[n].serve(a.work, func(int) { q.finish(n, a) })
	})
}

func (q *centralQueue) finish(n int, a arrival) {
	q.result.recordResponse(a.at, q.clock.now+q.delay(n), false)
	q.reserved[n]--
	if len(q.queue) == 0 {
		return
	}
	next := q.queue[0]
	q.queue = q.queue[1:]
	q.assign(n, next)
}
