package admission_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/snipebeam/snipebeam/control/admission"
)

// The model replays a load against a fleet in virtual time, in steps of modelStep. Hosts
// serve waiting requests by level and then in order of arrival, and refuse those that cannot
// be served in time, but know nothing of organisations. Their figures arrive late, and so do
// the shares.
const (
	modelStep     = 50 * time.Millisecond
	stepInterval  = 500 * time.Millisecond
	reportWindow  = 2 * time.Second
	reportDelay   = time.Second
	sharesDelay   = 500 * time.Millisecond
	repeatChance  = 0.4 // that a refused request is sent again
	repeatAfter   = time.Second
	modelService  = "catalogue"
	modelSteps    = float64(time.Second / modelStep)
	reportSamples = int(reportWindow / modelStep)
)

// kind is a kind of requests of one organisation.
type kind struct {
	organisation string
	level        admission.Level
	rate         float64 // usual, a second
	work         time.Duration
	deadline     time.Duration
	burst        func(at time.Duration) float64 // multiple of the usual rate
}

type job struct {
	kind    int
	arrived time.Duration
	repeats bool
}

// jobs is a heap in the order in which hosts serve.
type jobs struct {
	all   []job
	kinds []kind
}

func (j *jobs) Len() int      { return len(j.all) }
func (j *jobs) Swap(a, b int) { j.all[a], j.all[b] = j.all[b], j.all[a] }
func (j *jobs) Push(x any)    { j.all = append(j.all, x.(job)) }
func (j *jobs) Less(a, b int) bool {
	x, y := j.kinds[j.all[a].kind].level, j.kinds[j.all[b].kind].level
	return cmp.Or(order(x, y), cmp.Compare(j.all[a].arrived, j.all[b].arrived)) < 0
}

func (j *jobs) Pop() any {
	last := j.all[len(j.all)-1]
	j.all = j.all[:len(j.all)-1]
	return last
}

type sample struct{ arrivals, refused, served, slots []float64 }

type model struct {
	kinds      []kind
	slots      func(at time.Duration) int
	controller *admission.Controller // nil: hosts decide alone
	random     *rand.Rand
	lost       float64 // part of the stated slots that are not there

	now     time.Duration
	queue   jobs
	running []struct {
		kind int
		ends time.Duration
		took time.Duration
	}
	repeats map[time.Duration][]int // kinds by the time of their arrival
	samples []sample
	figures []admission.Service // at each step of the controller, oldest first
	shares  [][]admission.Entry
	count   func(kind int, at time.Duration, served bool)
}

func newModel(kinds []kind, slots func(at time.Duration) int, seed uint64, controlled bool) *model {
	m := &model{kinds: kinds, slots: slots, random: rand.New(rand.NewPCG(7, seed)), repeats: map[time.Duration][]int{}}
	m.queue.kinds = kinds
	if controlled {
		m.controller = admission.New()
	}
	return m
}

// run replays the load until the given time.
func (m *model) run(until time.Duration) {
	for ; m.now < until; m.now += modelStep {
		n := len(m.kinds)
		m.samples = append(m.samples, sample{make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n)})
		m.finish()
		m.arrive()
		m.dispatch()
		if len(m.samples) > reportSamples {
			m.samples = m.samples[1:]
		}
		if m.now%stepInterval == 0 {
			m.decide()
		}
	}
}

func (m *model) last() *sample { return &m.samples[len(m.samples)-1] }

func (m *model) finish() {
	kept := m.running[:0]
	for _, r := range m.running {
		if r.ends > m.now {
			kept = append(kept, r)
			continue
		}
		m.last().served[r.kind]++
		m.last().slots[r.kind] += r.took.Seconds()
	}
	m.running = kept
}

func (m *model) arrive() {
	for n, k := range m.kinds {
		rate := k.rate
		if k.burst != nil {
			rate *= k.burst(m.now)
		}
		for range m.poisson(rate / modelSteps) {
			m.offer(n, true)
		}
	}
	for _, n := range m.repeats[m.now] {
		m.offer(n, false)
	}
	delete(m.repeats, m.now)
}

func (m *model) poisson(mean float64) int {
	n, product, limit := 0, m.random.Float64(), math.Exp(-mean)
	for product > limit {
		n++
		product *= m.random.Float64()
	}
	return n
}

func (m *model) offer(n int, repeats bool) {
	m.last().arrivals[n]++
	if m.random.Float64() >= m.share(n) {
		m.refuse(job{kind: n, arrived: m.now, repeats: repeats})
		return
	}
	j := job{kind: n, arrived: m.now, repeats: repeats}
	if !m.servesInTime(j) {
		m.last().refused[n]++
		m.refuse(j)
		return
	}
	heap.Push(&m.queue, j)
}

// servesInTime reports whether a request can meet its deadline behind the waiting requests
// that go first, as hosts do.
func (m *model) servesInTime(j job) bool {
	if len(m.running) < m.real() {
		return true
	}
	ahead := time.Duration(0)
	for _, other := range m.queue.all {
		if order(m.kinds[other.kind].level, m.kinds[j.kind].level) <= 0 {
			ahead += m.kinds[other.kind].work
		}
	}
	k := m.kinds[j.kind]
	return ahead/time.Duration(m.real())+k.work <= k.deadline
}

func order(a, b admission.Level) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
}

// share returns the part of a kind that hosts admit.
func (m *model) share(n int) float64 {
	late := int(sharesDelay / stepInterval)
	if len(m.shares) <= late {
		return 1
	}
	share := 1.0
	for _, e := range m.shares[len(m.shares)-1-late] {
		switch {
		case e.Level != m.kinds[n].level:
		case e.Organisation == m.kinds[n].organisation:
			return e.Share
		case e.Organisation == "":
			share = e.Share
		}
	}
	return share
}

func (m *model) refuse(j job) {
	m.count(j.kind, m.now, false)
	if j.repeats && m.random.Float64() < repeatChance {
		at := m.now + repeatAfter
		m.repeats[at] = append(m.repeats[at], j.kind)
	}
}

// shed refuses the waiting requests that would be answered too late.
func (m *model) shed() {
	kept := m.queue.all[:0]
	for _, j := range m.queue.all {
		if k := m.kinds[j.kind]; m.now+k.work > j.arrived+k.deadline {
			m.last().refused[j.kind]++
			m.refuse(j)
			continue
		}
		kept = append(kept, j)
	}
	m.queue.all = kept
	heap.Init(&m.queue)
}

func (m *model) real() int { return int(float64(m.slots(m.now)) * (1 - m.lost)) }

// dispatch fills the slots.
func (m *model) dispatch() {
	m.shed()
	for m.queue.Len() > 0 && len(m.running) < m.real() {
		j := heap.Pop(&m.queue).(job)
		k := m.kinds[j.kind]
		took := time.Duration(float64(k.work) * (0.7 + 0.6*m.random.Float64()))
		m.running = append(m.running, struct {
			kind int
			ends time.Duration
			took time.Duration
		}{j.kind, m.now + took, took})
		m.count(j.kind, m.now, true)
	}
}

// decide hands the figures of a while ago to the controller.
func (m *model) decide() {
	if m.controller == nil {
		return
	}
	f := admission.Service{Name: modelService, Slots: float64(m.slots(m.now)), Queued: float64(m.queue.Len())}
	window := float64(len(m.samples)) / modelSteps
	for n, k := range m.kinds {
		d := admission.Demand{Level: k.level, Organisation: k.organisation}
		for _, s := range m.samples {
			d.Arrivals += s.arrivals[n] / window
			d.Refused += s.refused[n] / window
			d.Served += s.served[n] / window
			d.Slots += s.slots[n] / window
		}
		f.Demand = append(f.Demand, d)
	}
	m.figures = append(m.figures, f)
	late := int(reportDelay / stepInterval)
	if len(m.figures) <= late {
		return
	}
	m.shares = append(m.shares, m.controller.Step(stepInterval, []admission.Service{m.figures[len(m.figures)-1-late]}))
}

// tally counts the requests that arrived and those served in a period.
type tally struct{ all, served float64 }

func (t tally) part() float64 { return t.served / max(t.all, 1) }

// measure runs to the end of a period and counts its requests by organisation, by rank of
// the route, by level without one organisation, and in total.
func (m *model) measure(from, to time.Duration, without string) map[string]tally {
	counts := map[string]tally{}
	m.count = func(n int, at time.Duration, served bool) {
		if at < from || at >= to {
			return
		}
		k := m.kinds[n]
		names := []string{"all", k.organisation, fmt.Sprintf("route %d", k.level.Route)}
		if k.organisation != without {
			names = append(names, fmt.Sprintf("%d.%d", k.level.Organisation, k.level.Route), "others")
			if at >= settledFrom {
				names = append(names, "others, settled")
			}
		}
		for _, name := range names {
			t := counts[name]
			t.all++
			if served {
				t.served++
			}
			counts[name] = t
		}
	}
	m.run(to)
	return counts
}
