package virtual

// Central runs the scenario's arrivals through one shared queue with perfect
// knowledge: a request takes the fastest free slot at once, or the first slot
// that becomes free. While it waits, it travels.
func Central(s Scenario) *Result {
	s = s.Fill()
	c := &clock{}
	all := s.upstreams(c)
	result := newResult(s)
	q := &central{clock: c, upstreams: all, result: result, delay: int64(s.SameZone)}
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
	delay     int64
	queue     []arrival
	reserved  []int
}

func (q *central) arrive(a arrival) {
	if q.reserved == nil {
		q.reserved = make([]int, len(q.upstreams))
	}
	best := -1
	for n, u := range q.upstreams {
		free := q.reserved[n] < u.slots
		if free && (best < 0 || u.rate() > q.upstreams[best].rate()) {
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
	start := max(q.clock.now, a.at+q.delay)
	q.clock.at(start, func() {
		q.upstreams[n].serve(a.work, func(int) { q.finish(n, a) })
	})
}

func (q *central) finish(n int, a arrival) {
	q.result.answer(a.at, q.clock.now+q.delay, false)
	q.reserved[n]--
	if len(q.queue) == 0 {
		return
	}
	next := q.queue[0]
	q.queue = q.queue[1:]
	q.take(n, next)
}
