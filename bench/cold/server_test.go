package cold_test

import (
	"context"
	"slices"
	"testing/synctest"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
)

// chill turns instances cold. Each announces it at a moment within the gap of its
// announcements, and its end in the same way.
func (s *site) chill(picked ...*server) {
	for _, i := range picked {
		s.mu.Lock()
		wait := time.Duration(s.random.Int64N(int64(announceGap)))
		i.coldUntil = time.Now().Add(warmupTime)
		i.knownAt = time.Now().Add(wait + newsDelay)
		s.mu.Unlock()
		go s.announceCold(i, wait)
	}
}

func (s *site) announceCold(i *server, wait time.Duration) {
	time.Sleep(wait)
	s.mu.Lock()
	until := i.coldUntil
	left := time.Until(until)
	s.mu.Unlock()
	time.Sleep(newsDelay)
	s.announce(i, instance.WithCold(true), instance.WithWarmupLeft(left))
	for time.Now().Before(until) {
		time.Sleep(announceGap)
	}
	s.mu.Lock()
	again := time.Now().Before(i.coldUntil)
	s.mu.Unlock()
	if !again {
		s.announce(i)
	}
}

func (s *site) announce(i *server, opts ...instance.Option) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.record = instance.New(i.id, shop, "", append([]instance.Option{instance.WithZone(i.zone), instance.WithSlots(slots)}, opts...)...)
	for _, h := range s.hosts {
		s.publish(h)
	}
}

// run sends requests to random hosts for a time.
func (s *site) run(d time.Duration) {
	until := time.Now().Add(d)
	for {
		s.mu.Lock()
		gap := time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
		h := s.hosts[s.random.IntN(len(s.hosts))]
		s.mu.Unlock()
		if time.Now().Add(gap).After(until) {
			time.Sleep(time.Until(until))
			synctest.Wait()
			return
		}
		time.Sleep(gap)
		go s.send(h)
	}
}

func (s *site) send(h *host) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(h.ctx, requestTimeout)
	defer cancel()
	ticket, err := h.router.Acquire(ctx, route.NewQuery(shop, contract.New(), "caller", h.zone).WithSoftDeadline(started.Add(requestTimeout/2)))
	s.mu.Lock()
	s.sent++
	if err != nil {
		s.refused++
		s.mu.Unlock()
		return
	}
	s.waits = append(s.waits, time.Since(started))
	i := s.server(ticket.Instance().ID())
	end := s.serve(i)
	s.mu.Unlock()
	time.Sleep(time.Until(end))
	s.mu.Lock()
	load := i.load()
	s.mu.Unlock()
	ticket.Finish(route.Report{Latency: time.Since(started) - ticket.Waited(), Answered: true, HasReportedLoad: true, ReportedLoad: load})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	if time.Since(started) > requestTimeout {
		s.late++
	}
}

// serve runs a request at an instance and returns when it ends. The caller holds the lock.
func (s *site) serve(i *server) time.Time {
	now := time.Now()
	i.arrivals = append(i.arrivals, now)
	i.countCold(now)
	work := s.work
	if now.Before(i.coldUntil) {
		work *= 2
	}
	slot := 0
	if i.free[1].Before(i.free[0]) {
		slot = 1
	}
	start := now
	if i.free[slot].After(now) {
		start = i.free[slot]
	}
	i.free[slot] = start.Add(work)
	i.ends = append(i.ends, i.free[slot])
	return i.free[slot]
}

// countCold adds an arrival to the most requests that reached the cold instance in any
// second in which all hosts could know that it is cold. The caller holds the lock.
func (i *server) countCold(now time.Time) {
	if now.Before(i.knownAt) || !now.Before(i.coldUntil) {
		return
	}
	n := 0
	for _, at := range slices.Backward(i.arrivals) {
		if now.Sub(at) >= time.Second || at.Before(i.knownAt) {
			break
		}
		n++
	}
	i.mostCold = max(i.mostCold, n)
}

// between counts the requests that reached an instance in a time.
func (i *server) between(from, until time.Time) int {
	n := 0
	for _, at := range i.arrivals {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// bound returns the most requests that may be sent to a cold instance in any second.
func (s *site) bound() float64 { return s.coldRate*1.5 + 8 }

// mostCold returns the most requests that reached any cold instance in any second.
func (s *site) mostCold() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, i := range s.instances {
		most = max(most, i.mostCold)
	}
	return float64(most)
}

func (s *site) zone(name string) []*server {
	var picked []*server
	for _, i := range s.instances {
		if i.zone == name {
			picked = append(picked, i)
		}
	}
	return picked
}
