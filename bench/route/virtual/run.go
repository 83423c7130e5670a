package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

const (
	service        = "catalogue"
	answerLifetime = int64(5 * time.Second)
	connectFailure = int64(time.Millisecond) // until a caller knows that a host is gone
	hostRate       = 1000.0                  // requests a second
	announceDelay  = int64(time.Second)      // until every host knows that an instance drains
	lossTimeout    = int64(time.Second)      // until a host gives up on a request without a deadline
	coldTime       = int64(2 * time.Second)  // until a cold instance is warm
	noZone         = -1
	epoch          = int64(1_700_000_000_000_000_000)
)

// host is an entry host with the real router.
type host struct {
	name    string
	zone    int
	lost    bool
	views   *route.Views
	router  *route.Router
	members []route.Member
}

// caller keeps an address answer for its lifetime.
type caller struct {
	active    []*host
	spares    []*host
	freshTill int64
}

type fleet struct {
	scenario  Scenario
	clock     *clock
	random    *rand.Rand
	upstreams []*upstream
	hosts     []*host
	reports   []*wire.HostReport
	callers   []*caller
	terms     *contract.Contract
	result    *Result
	cut       int // zone that is cut off, or noZone
}

// Run runs the scenario with its policy.
func Run(s Scenario) *Result {
	s = s.WithDefaults()
	f := newFleet(s)
	for _, one := range s.arrivals() {
		f.clock.at(one.at, func() { f.arrive(one) })
	}
	for _, fault := range s.Faults {
		f.clock.at(int64(fault.At), func() { f.apply(fault) })
	}
	f.startProbes()
	f.clock.run(int64(s.Duration) + drainTime)
	return f.result
}

func newFleet(s Scenario) *fleet {
	c := &clock{}
	f := &fleet{
		scenario: s, clock: c, random: rand.New(rand.NewPCG(s.Seed, 2)), upstreams: s.upstreams(c),
		terms: contract.New(), result: newResult(s), cut: noZone,
	}
	for n := range s.Hosts {
		f.hosts = append(f.hosts, f.newHost(n))
	}
	for range s.Callers {
		f.callers = append(f.callers, &caller{})
	}
	return f
}

func zoneName(n int) string { return "zone-" + strconv.Itoa(n) }

func (f *fleet) newHost(n int) *host {
	h := &host{name: fmt.Sprintf("entry-%d", n+1), zone: n % f.scenario.Zones, views: &route.Views{}}
	for i, u := range f.upstreams {
		id := instance.ID(fmt.Sprintf("%s-%d", service, i))
		h.members = append(h.members, route.NewMember(
			instance.New(id, service, "", instance.WithZone(zoneName(u.zone)), instance.WithSlots(u.slots)), &route.Load{}))
	}
	h.views.Store(map[string]*route.View{service: route.NewView(service, h.members)})
	draws := rand.NewPCG(f.scenario.Seed, uint64(n)+5000)
	options := append([]route.Option{
		route.WithClock(func() int64 { return epoch + f.clock.now }),
		route.WithRandom(draws.Uint64), route.WithoutTrace(),
	}, f.scenario.Options...)
	h.router = route.NewRouter(h.views, f.scenario.Policy(), options...)
	f.reports = append(f.reports, &wire.HostReport{Name: h.name, Zone: zoneName(h.zone), Role: "entry", State: placement.StateReady})
	return h
}

// hostOf returns the entry host that a caller uses: the addresses of its last
// answer, asked for again when its lifetime has passed.
func (f *fleet) hostOf(c *caller) *host {
	if c.freshTill <= f.clock.now {
		answer := f.answer()
		c.active, c.spares = f.named(answer.Active()), f.named(answer.Spares())
		c.freshTill = f.clock.now + answerLifetime
	}
	return c.active[f.random.IntN(len(c.active))]
}

// avoid leaves out a host that a caller could not reach, and returns the next.
func (f *fleet) avoid(c *caller, h *host) *host {
	c.active = slices.DeleteFunc(c.active, func(one *host) bool { return one == h })
	if len(c.active) == 0 && len(c.spares) > 0 {
		c.active, c.spares = c.spares[:1], c.spares[1:]
	}
	if len(c.active) == 0 {
		return nil
	}
	return c.active[f.random.IntN(len(c.active))]
}

// answer is what callers are told. A scenario with Active above 1 stands for a
// rate that one host does not carry.
func (f *fleet) answer() placement.Selection {
	plan := placement.Plan{Spread: f.scenario.Spread, HostRate: hostRate, Rate: hostRate * float64(f.scenario.Active)}
	return placement.Choose(f.reports, service, "", plan)
}

func (f *fleet) named(reports []*wire.HostReport) []*host {
	var all []*host
	for _, report := range reports {
		all = append(all, f.host(report.GetName()))
	}
	return all
}

func (f *fleet) host(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (f *fleet) arrive(a arrival) {
	f.enter(a, f.hostOf(f.callers[a.caller]))
}

// enter hands a request to an entry host, or to the next one of the caller's
// answer if that one is lost.
func (f *fleet) enter(a arrival, h *host) {
	if h == nil {
		f.result.answer(a.at, f.clock.now, true)
		return
	}
	if h.lost || !f.reaches(a.caller%f.scenario.Zones, h.zone) {
		f.clock.after(connectFailure, func() { f.enter(a, f.avoid(f.callers[a.caller], h)) })
		return
	}
	q := route.NewQuery(service, f.terms, strconv.Itoa(a.caller), zoneName(h.zone))
	if f.scenario.Deadline > 0 {
		q = q.WithDeadline(time.Unix(0, epoch+f.clock.now+int64(f.scenario.Deadline)))
	}
	ticket, _, err := h.router.Offer(q, func(t *route.Ticket, err error) { f.granted(h, a, t, err) })
	if err != nil || ticket != nil {
		f.granted(h, a, ticket, err)
	}
}

func (f *fleet) granted(h *host, a arrival, t *route.Ticket, err error) {
	if err != nil {
		f.result.shed(a.at)
		return
	}
	n := f.index(h, t.Instance().ID())
	f.result.sent(n, f.clock.now)
	f.result.QueueNs += float64(t.Waited())
	sentAt := f.clock.now
	f.clock.after(f.delay(h, n), func() { f.serve(h, n, a, t, sentAt) })
}

func (f *fleet) index(h *host, id instance.ID) int {
	for n, m := range h.members {
		if m.Instance().ID() == id {
			return n
		}
	}
	return -1
}

func (f *fleet) delay(h *host, n int) int64 {
	if f.upstreams[n].zone == h.zone {
		return int64(f.scenario.SameZone)
	}
	return int64(f.scenario.OtherZone)
}

// reaches reports whether anything passes between two zones.
func (f *fleet) reaches(a, b int) bool {
	return a == b || f.cut == noZone || a != f.cut && b != f.cut
}

// lose ends a request that got no answer.
func (f *fleet) lose(a arrival, t *route.Ticket, sentAt int64) {
	timeout := lossTimeout
	if f.scenario.Deadline > 0 {
		timeout = int64(f.scenario.Deadline)
	}
	f.clock.after(timeout, func() {
		f.result.answer(a.at, f.clock.now, true)
		t.Finish(route.Report{Latency: time.Duration(f.clock.now - sentAt), Failed: true, Unreachable: true})
	})
}

func (f *fleet) serve(h *host, n int, a arrival, t *route.Ticket, sentAt int64) {
	u := f.upstreams[n]
	if !f.reaches(h.zone, u.zone) {
		f.lose(a, t, sentAt)
		return
	}
	if u.failFast {
		f.back(h, n, a, t, sentAt, 0, true)
		return
	}
	u.serve(a.work, func(reported int) { f.back(h, n, a, t, sentAt, reported, false) })
}

// back carries an answer to the entry host.
func (f *fleet) back(h *host, n int, a arrival, t *route.Ticket, sentAt int64, reported int, failed bool) {
	f.clock.after(f.delay(h, n), func() {
		if h.lost {
			f.result.answer(a.at, f.clock.now, true)
			return
		}
		f.result.answer(a.at, f.clock.now, failed)
		t.Finish(route.Report{Latency: time.Duration(f.clock.now - sentAt), Failed: failed, ReportedLoad: reported, HasReportedLoad: true})
	})
}

func (f *fleet) apply(fault Fault) {
	switch fault.Kind {
	case Slow:
		u := f.upstreams[fault.Target]
		u.change(func() { u.slowdown = fault.Factor })
	case FailFast:
		f.upstreams[fault.Target].failFast = true
	case MisreportLoad:
		f.upstreams[fault.Target].lies, f.upstreams[fault.Target].lie = true, int(fault.Factor)
	case Drain:
		f.clock.after(announceDelay, func() { f.announceDraining(fault.Target) })
	case CrashHost:
		f.loseHost(fault.Target)
	case ColdStart:
		f.coldStart(fault.Target, fault.Factor)
	case PartitionZone:
		f.cut = fault.Target
	}
}

func (f *fleet) announceDraining(n int) {
	f.announce(n, false, instance.WithDraining(true))
}

// coldStart restarts an instance that is slow until it is warm.
func (f *fleet) coldStart(n int, factor float64) {
	u := f.upstreams[n]
	u.change(func() { u.slowdown = factor })
	f.announce(n, true, instance.WithCold(true))
	f.clock.after(coldTime, func() {
		u.change(func() { u.slowdown = 1 })
		f.announce(n, false)
	})
}

// announce tells every host of a change of an instance.
func (f *fleet) announce(n int, restarted bool, opts ...instance.Option) {
	for _, h := range f.hosts {
		old := h.members[n]
		load := old.Load()
		if restarted {
			load = &route.Load{}
		}
		all := append([]instance.Option{instance.WithZone(old.Instance().Zone()), instance.WithSlots(old.Instance().Slots())}, opts...)
		h.members = append([]route.Member(nil), h.members...)
		h.members[n] = route.NewMember(instance.New(old.Instance().ID(), service, "", all...), load)
		h.views.Store(map[string]*route.View{service: route.NewView(service, h.members)})
	}
}

// loseHost kills the n-th host of the service's placement.
func (f *fleet) loseHost(n int) {
	chosen := f.answer().Hosts()
	name := chosen[n%len(chosen)].GetName()
	f.host(name).lost = true
	f.clock.after(announceDelay, func() {
		for _, report := range f.reports {
			if report.GetName() == name {
				report.State = "silent"
			}
		}
	})
}
