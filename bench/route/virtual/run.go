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
	service            = "catalogue"
	addressTTL         = int64(5 * time.Second)
	connectFailureTime = int64(time.Millisecond) // until a connection attempt to an unreachable host fails
	hostRate           = 1000.0                  // requests per second
	announceDelay      = int64(time.Second)      // until every host has an announced change
	defaultTimeout     = int64(time.Second)      // of a request without a deadline
	coldPeriod         = int64(2 * time.Second)  // until a restarted instance is warm
	noPartition        = -1
	epoch              = int64(1_700_000_000_000_000_000)
)

// host is an entry host with the real router.
type host struct {
	name    string
	zone    int
	crashed bool
	views   *route.Views
	router  *route.Router
	members []route.Member
}

// caller caches an address response until it expires.
type caller struct {
	active    []*host
	spares    []*host
	expiresAt int64
}

// simulation is the state of one run.
type simulation struct {
	scenario        Scenario
	clock           *clock
	random          *rand.Rand
	upstreams       []*upstream
	hosts           []*host
	reports         []*wire.HostReport
	callers         []*caller
	contract        *contract.Contract
	result          *Result
	partitionedZone int // zone without a connection to the others, or noPartition
}

// Run simulates the scenario with its policy.
func Run(s Scenario) *Result {
	s = s.WithDefaults()
	sim := newSimulation(s)
	for _, one := range s.arrivals() {
		sim.clock.at(one.at, func() { sim.arrive(one) })
	}
	for _, fault := range s.Faults {
		sim.clock.at(int64(fault.At), func() { sim.apply(fault) })
	}
	sim.startProbes()
	sim.clock.run(int64(s.Duration) + drainPeriod)
	return sim.result
}

func newSimulation(s Scenario) *simulation {
	c := &clock{}
	sim := &simulation{
		scenario: s, clock: c, random: rand.New(rand.NewPCG(s.Seed, 2)), upstreams: s.upstreams(c),
		contract: contract.New(), result: newResult(s), partitionedZone: noPartition,
	}
	for n := range s.Hosts {
		sim.hosts = append(sim.hosts, sim.newHost(n))
	}
	for range s.Callers {
		sim.callers = append(sim.callers, &caller{})
	}
	return sim
}

func zoneName(n int) string { return "zone-" + strconv.Itoa(n) }

func (sim *simulation) newHost(n int) *host {
	h := &host{name: fmt.Sprintf("entry-%d", n+1), zone: n % sim.scenario.Zones, views: &route.Views{}}
	for i, u := range sim.upstreams {
		id := instance.ID(fmt.Sprintf("%s-%d", service, i))
		h.members = append(h.members, route.NewMember(
			instance.New(id, service, "", instance.WithZone(zoneName(u.zone)), instance.WithSlots(u.slots)), &route.Load{}))
	}
	h.views.Store(map[string]*route.View{service: route.NewView(service, h.members)})
	draws := rand.NewPCG(sim.scenario.Seed, uint64(n)+5000)
	options := append([]route.Option{
		route.WithClock(func() int64 { return epoch + sim.clock.now }),
		route.WithRandom(draws.Uint64), route.WithoutTrace(),
	}, sim.scenario.Options...)
	h.router = route.NewRouter(h.views, sim.scenario.Policy(), options...)
	sim.reports = append(sim.reports, &wire.HostReport{Name: h.name, Zone: zoneName(h.zone), Role: "entry", State: placement.StateReady})
	return h
}

// pickHost returns a random active entry host of a caller's address response,
// which is renewed when its TTL has passed.
func (sim *simulation) pickHost(c *caller) *host {
	if c.expiresAt <= sim.clock.now {
		selection := sim.selectHosts()
		c.active, c.spares = sim.hostsByReport(selection.Active()), sim.hostsByReport(selection.Spares())
		c.expiresAt = sim.clock.now + addressTTL
	}
	return c.active[sim.random.IntN(len(c.active))]
}

// excludeHost removes an unreachable host from a caller's address response and
// returns another one, nil if none is left. Spares replace active hosts only when
// all of those have failed.
func (sim *simulation) excludeHost(c *caller, h *host) *host {
	c.active = slices.DeleteFunc(c.active, func(one *host) bool { return one == h })
	if len(c.active) == 0 && len(c.spares) > 0 {
		c.active, c.spares = c.spares[:1], c.spares[1:]
	}
	if len(c.active) == 0 {
		return nil
	}
	return c.active[sim.random.IntN(len(c.active))]
}

// selectHosts returns the placement of the service for an address response. The
// rate is such that the placement needs Active hosts.
func (sim *simulation) selectHosts() placement.Selection {
	plan := placement.Plan{Spread: sim.scenario.Spread, HostRate: hostRate, Rate: hostRate * float64(sim.scenario.Active)}
	return placement.Choose(sim.reports, service, "", plan)
}

func (sim *simulation) hostsByReport(reports []*wire.HostReport) []*host {
	var all []*host
	for _, report := range reports {
		all = append(all, sim.hostByName(report.GetName()))
	}
	return all
}

func (sim *simulation) hostByName(name string) *host {
	for _, h := range sim.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (sim *simulation) arrive(a arrival) {
	sim.admit(a, sim.pickHost(sim.callers[a.caller]))
}

// admit sends a request to an entry host, or to another one of the caller's
// address response if that host is unreachable.
func (sim *simulation) admit(a arrival, h *host) {
	if h == nil {
		sim.result.recordResponse(a.at, sim.clock.now, true)
		return
	}
	if h.crashed || !sim.reachable(a.caller%sim.scenario.Zones, h.zone) {
		sim.clock.after(connectFailureTime, func() { sim.admit(a, sim.excludeHost(sim.callers[a.caller], h)) })
		return
	}
	q := route.NewQuery(service, sim.contract, strconv.Itoa(a.caller), zoneName(h.zone))
	if sim.scenario.Deadline > 0 {
		q = q.WithDeadline(time.Unix(0, epoch+sim.clock.now+int64(sim.scenario.Deadline)))
	}
	ticket, _, err := h.router.Offer(q, func(t *route.Ticket, err error) { sim.dispatch(h, a, t, err) })
	if err != nil || ticket != nil {
		sim.dispatch(h, a, ticket, err)
	}
}

// dispatch sends a request to its instance, or records it as shed if the router
// rejected it.
func (sim *simulation) dispatch(h *host, a arrival, t *route.Ticket, err error) {
	if err != nil {
		sim.result.recordShed(a.at)
		return
	}
	n := sim.instanceIndex(h, t.Instance().ID())
	sim.result.recordSent(n, sim.clock.now)
	sim.result.QueueNs += float64(t.Waited())
	sentAt := sim.clock.now
	sim.clock.after(sim.delay(h, n), func() { sim.serve(h, n, a, t, sentAt) })
}

func (sim *simulation) instanceIndex(h *host, id instance.ID) int {
	for n, m := range h.members {
		if m.Instance().ID() == id {
			return n
		}
	}
	return -1
}

func (sim *simulation) delay(h *host, n int) int64 {
	if sim.upstreams[n].zone == h.zone {
		return int64(sim.scenario.SameZone)
	}
	return int64(sim.scenario.OtherZone)
}

// reachable reports whether two zones are connected.
func (sim *simulation) reachable(a, b int) bool {
	return a == b || sim.partitionedZone == noPartition || a != sim.partitionedZone && b != sim.partitionedZone
}

// timeOut ends a request without a response when its deadline or the default
// timeout has passed.
func (sim *simulation) timeOut(a arrival, t *route.Ticket, sentAt int64) {
	timeout := defaultTimeout
	if sim.scenario.Deadline > 0 {
		timeout = int64(sim.scenario.Deadline)
	}
	sim.clock.after(timeout, func() {
		sim.result.recordResponse(a.at, sim.clock.now, true)
		t.Finish(route.Report{Latency: time.Duration(sim.clock.now - sentAt), Failed: true, Unreachable: true})
	})
}

func (sim *simulation) serve(h *host, n int, a arrival, t *route.Ticket, sentAt int64) {
	u := sim.upstreams[n]
	if !sim.reachable(h.zone, u.zone) {
		sim.timeOut(a, t, sentAt)
		return
	}
	if u.failFast {
		sim.respond(h, n, a, t, sentAt, 0, true)
		return
	}
	u.serve(a.work, func(reported int) { sim.respond(h, n, a, t, sentAt, reported, false) })
}

// respond delivers a response to the entry host. The request fails if that host
// has crashed.
func (sim *simulation) respond(h *host, n int, a arrival, t *route.Ticket, sentAt int64, reported int, failed bool) {
	sim.clock.after(sim.delay(h, n), func() {
		if h.crashed {
			sim.result.recordResponse(a.at, sim.clock.now, true)
			return
		}
		sim.result.recordResponse(a.at, sim.clock.now, failed)
		t.Finish(route.Report{Latency: time.Duration(sim.clock.now - sentAt), Failed: failed, ReportedLoad: reported, HasReportedLoad: true})
	})
}

func (sim *simulation) apply(fault Fault) {
	switch fault.Kind {
	case Slow:
		u := sim.upstreams[fault.Target]
		u.updateSpeed(func() { u.slowdown = fault.Factor })
	case FailFast:
		sim.upstreams[fault.Target].failFast = true
	case MisreportLoad:
		sim.upstreams[fault.Target].misreports, sim.upstreams[fault.Target].misreportedLoad = true, int(fault.Factor)
	case Drain:
		sim.clock.after(announceDelay, func() { sim.announceDraining(fault.Target) })
	case CrashHost:
		sim.crashHost(fault.Target)
	case ColdStart:
		sim.coldStart(fault.Target, fault.Factor)
	case PartitionZone:
		sim.partitionedZone = fault.Target
	}
}

func (sim *simulation) announceDraining(n int) {
	sim.announce(n, false, instance.WithDraining(true))
}

// coldStart restarts an instance that is slower by a factor during coldPeriod.
func (sim *simulation) coldStart(n int, factor float64) {
	u := sim.upstreams[n]
	u.updateSpeed(func() { u.slowdown = factor })
	sim.announce(n, true, instance.WithCold(true))
	sim.clock.after(coldPeriod, func() {
		u.updateSpeed(func() { u.slowdown = 1 })
		sim.announce(n, false)
	})
}

// announce applies a change of an instance on every host. A restart discards the
// tracked load.
func (sim *simulation) announce(n int, restarted bool, opts ...instance.Option) {
	for _, h := range sim.hosts {
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

// crashHost crashes the n-th host of the service's placement, which leaves the
// placement after announceDelay.
func (sim *simulation) crashHost(n int) {
	chosen := sim.selectHosts().Hosts()
	name := chosen[n%len(chosen)].GetName()
	sim.hostByName(name).crashed = true
	sim.clock.after(announceDelay, func() {
		for _, report := range sim.reports {
			if report.GetName() == name {
				report.State = "silent"
			}
		}
	})
}
