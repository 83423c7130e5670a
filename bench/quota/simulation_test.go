// Package quota_test simulates entry hosts and control hosts in virtual time, with the
// accounting that the programs use on both sides.
package quota_test

import (
	"container/heap"
	"context"
	"math/rand"
	"strconv"
	"time"

	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	control "github.com/snipebeam/snipebeam/control/quota"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/outcome"
)

const (
	callTimeout = 150 * time.Millisecond
	replicas    = 3
	maxOverlap  = 300 * time.Millisecond // of two leaders
)

// faults are the troubles of one run.
type faults struct {
	lostCalls    float64       // share of messages that are lost
	slowCalls    float64       // share of calls that arrive up to 2 s late
	changeEvery  time.Duration // between changes of the leader, 0 for none
	gap          time.Duration // most time without a leader at each
	cutEvery     time.Duration // between cuts of some hosts from all control hosts
	restartEvery time.Duration // between restarts of a host
	slowLinks    time.Duration // most time that a request takes to open a link
}

type event struct {
	at     time.Duration
	number int // orders events of the same time
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].number < e[b].number
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// ended is one request that has ended.
type ended struct {
	arrived, at time.Duration
	ran         bool
	reason      outcome.Reason // of a refusal
	waited      bool
	host        int
}

// simulation is a site in virtual time.
type simulation struct {
	random  *rand.Rand
	faults  faults
	now     time.Duration
	queue   events
	number  int
	epoch   time.Time
	hosts   []*host
	control []*replica
	term    uint64
	gaps    [][2]time.Duration // times without a leader
	rules   map[string]*contract.Organisation
	ended   map[string][]ended
}

// log is a log of which only the status is used.
type log struct {
	agreement.Log
	status agreement.Status
}

func (l *log) Status() agreement.Status { return l.status }

func (*log) Confirm(context.Context) error { return nil }

// replica is one control host.
type replica struct {
	*control.Service
	log       *log
	suspended time.Duration
	asleep    bool     // its machine is suspended
	outdated  bool     // it does not hear of a change of the leader
	late      []func() // calls that it handles once it wakes
}

func newSimulation(seed int64, hosts int, f faults, rules ...*contract.Organisation) *simulation {
	s := &simulation{random: rand.New(rand.NewSource(seed)), faults: f, epoch: time.Unix(1000, 0), rules: map[string]*contract.Organisation{}, ended: map[string][]ended{}}
	for _, o := range rules {
		s.rules[o.Name()] = o
	}
	for n := range replicas {
		r := &replica{log: &log{}}
		r.Service = control.New("c"+strconv.Itoa(n), r.log, fleet.New(),
			control.WithClock(func() time.Time { return s.epoch.Add(s.now) }),
			control.WithSuspended(func() time.Duration { return r.suspended }),
			control.WithOrganisations(func(name string) *contract.Organisation { return s.rules[name] }))
		s.control = append(s.control, r)
	}
	for n := range hosts {
		h := &host{s: s, number: n, leader: -1}
		h.start()
		s.hosts = append(s.hosts, h)
	}
	s.lead(0)
	s.schedule()
	return s
}

func (s *simulation) schedule() {
	if every := s.faults.changeEvery; every > 0 {
		s.after(every, s.change)
	}
	if every := s.faults.cutEvery; every > 0 {
		s.repeat(every, func() {
			first, length := s.random.Intn(len(s.hosts)), s.upTo(6*time.Second)
			for _, h := range s.hosts[first:] {
				h.cut = true
				s.after(length, func() { h.cut = false })
			}
		})
	}
	if every := s.faults.restartEvery; every > 0 {
		s.repeat(every, func() { s.hosts[s.random.Intn(len(s.hosts))].start() })
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.number++
	heap.Push(&s.queue, event{at: s.now + max(d, 0), number: s.number, do: do})
}

func (s *simulation) repeat(every time.Duration, do func()) {
	s.after(every/2+s.upTo(every), func() {
		do()
		s.repeat(every, do)
	})
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.random.Int63n(int64(d)))
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// lead makes a replica the leader.
func (s *simulation) lead(n int) {
	s.term++
	for at, r := range s.control {
		since := time.Time{}
		if at == n {
			since = s.epoch.Add(s.now)
		}
		if !r.outdated {
			r.log.status = agreement.NewStatus("c"+strconv.Itoa(n), strconv.Itoa(n), s.term, 0, true, nil).WithLeadsSince(since)
		}
	}
}

// change replaces the leader after a time without one. A leader may also be suspended, and
// handle the calls that came meanwhile before it hears of its successor, or be cut off from the
// other control hosts, and grant for a time next to its successor.
func (s *simulation) change() {
	old := int(s.term-1) % replicas
	next := int(s.term) % replicas
	gap := s.upTo(s.faults.gap)
	r := s.control[old]
	switch s.random.Intn(3) {
	case 0:
		r.asleep, r.outdated = true, true
		gap = max(gap, 200*time.Millisecond)
	case 1:
		r.outdated = true
		gap = time.Millisecond
		s.after(gap+s.upTo(maxOverlap), func() { s.inform(r) })
	default:
		for _, other := range s.control {
			other.log.status = agreement.NewStatus("", "", s.term, 0, false, nil)
		}
	}
	s.gaps = append(s.gaps, [2]time.Duration{s.now, s.now + gap})
	s.after(gap, func() {
		s.lead(next)
		if r.asleep {
			s.after(s.upTo(200*time.Millisecond), func() { s.thaw(r, gap) })
		}
	})
	s.after(s.faults.changeEvery+s.upTo(s.faults.changeEvery/4), s.change) // at most two in 8 s
}

func (s *simulation) thaw(r *replica, after time.Duration) {
	r.asleep = false
	r.suspended += after
	for _, call := range r.late {
		call()
	}
	r.late = nil
	s.after(s.upTo(time.Second), func() { s.inform(r) })
}

// inform has a former leader hear of its successor.
func (s *simulation) inform(r *replica) {
	r.outdated = false
	leader := strconv.Itoa(int(s.term-1) % replicas)
	r.log.status = agreement.NewStatus("c"+leader, leader, s.term, 0, true, nil)
}

// load sends requests of an organisation at a rate to random hosts, evenly or at random.
func (s *simulation) load(name string, perSecond float64, even bool, hosts ...int) {
	interval := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		n := s.random.Intn(len(s.hosts))
		if len(hosts) > 0 {
			n = hosts[s.random.Intn(len(hosts))]
		}
		s.hosts[n].arrive(name)
		if even {
			s.after(interval, next)
		} else {
			s.after(s.upTo(2*interval), next)
		}
	}
	s.after(s.upTo(interval), next)
}

// loadOf sends requests of an organisation to random hosts, at a rate that depends on time.
func (s *simulation) loadOf(name string, perSecond func(now time.Duration) float64) {
	var next func()
	next = func() {
		s.hosts[s.random.Intn(len(s.hosts))].arrive(name)
		s.after(s.upTo(time.Duration(2*float64(time.Second)/perSecond(s.now))), next)
	}
	s.after(0, next)
}

// leaderless reports whether there was no leader at some time between the given ones.
func (s *simulation) leaderless(from, to time.Duration) bool {
	for _, gap := range s.gaps {
		if gap[0] <= to && from <= gap[1] {
			return true
		}
	}
	return false
}
