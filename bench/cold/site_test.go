package cold_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/fleet"
	"github.com/snipebeam/snipebeam/control/quota"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Figures of the site.
const (
	shop           = "shop"
	warmupTime     = 3 * time.Second
	announceGap    = 1500 * time.Millisecond
	newsDelay      = 60 * time.Millisecond // from an announcement to its record at all entry hosts
	callDelay      = time.Millisecond      // of each way between an entry host and a control host
	slots          = 2
	electionTime   = time.Second
	requestTimeout = 1200 * time.Millisecond
)

var errCut = errors.New("no control host answers")

// shape is the size of a site and what its requests need.
type shape struct {
	hosts, zones, instances int
	rate                    float64       // requests a second of all hosts together
	work                    time.Duration // of a request at an instance that is not cold
	coldRate                float64
}

// site is entry hosts, control hosts and instances in the virtual time of a synctest bubble.
type site struct {
	shape
	ctx   context.Context
	terms *contract.Service

	mu        sync.Mutex
	random    *rand.Rand
	instances []*server
	hosts     []*host
	replicas  []*replica
	leader    int // -1 for none
	term      uint64
	since     time.Time

	sent, served, refused, late int
	waits                       []time.Duration
	calls                       int
	probesState                 bool // responses to probes state for how long an instance stays cold
}

type replica struct {
	*quota.Service
	agreement.Log
	site   *site
	number int
	stale  time.Time // until when a former leader has not heard of its successor
	was    agreement.Status
}

// Status returns the status of the replica, which may lead or believe so.
func (r *replica) Status() agreement.Status {
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	if time.Now().Before(r.stale) {
		return r.was
	}
	s := r.site
	if s.leader < 0 {
		return agreement.NewStatus("", "", s.term, 0, false, nil)
	}
	status := agreement.NewStatus(fmt.Sprint(s.leader), fmt.Sprint(s.leader), s.term, 0, true, nil)
	if s.leader == r.number {
		status = status.WithLeadsSince(s.since)
	}
	return status
}

// host is one entry host.
type host struct {
	name   string
	zone   string
	views  *route.Views
	loads  []*route.Load
	router *route.Router
	cut    bool            // from the control hosts
	ctx    context.Context // ends with the process
	stop   context.CancelFunc
}

// server is one instance.
type server struct {
	id        instance.ID
	zone      string
	coldUntil time.Time
	knownAt   time.Time // when all hosts know that it is cold
	arrivals  []time.Time
	mostCold  int         // see countCold
	free      []time.Time // when its slots are free
	ends      []time.Time // of the requests that run or wait there
	record    *instance.Instance
}

func newSite(t *testing.T, s shape) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { // in the bubble, all of whose goroutines must end
		cancel()
		time.Sleep(time.Minute)
	})
	site := &site{shape: s, ctx: ctx, random: rand.New(rand.NewPCG(1, 2)), terms: contract.NewService(shop, contract.WithColdRate(s.coldRate), contract.WithHealth("/healthz"), contract.WithProbeBudget(0.12)), leader: 0, term: 1, since: time.Now().Add(-time.Hour)}
	terms := func(string) *contract.Service { return site.terms }
	for n := range 3 {
		r := &replica{site: site, number: n}
		r.Service = quota.New(fmt.Sprint(n), r, fleet.New(), quota.WithTerms(terms), quota.WithSuspended(func() time.Duration { return 0 }))
		site.replicas = append(site.replicas, r)
	}
	for n := range s.instances {
		i := &server{id: instance.ID(fmt.Sprintf("i%03d", n)), zone: fmt.Sprint("z", n%s.zones), free: make([]time.Time, slots)}
		i.record = instance.New(i.id, shop, "", instance.WithZone(i.zone), instance.WithSlots(slots))
		site.instances = append(site.instances, i)
	}
	for n := range s.hosts {
		site.hosts = append(site.hosts, site.newHost(n))
	}
	return site
}

func (s *site) newHost(n int) *host {
	h := &host{name: fmt.Sprint("e", n), zone: fmt.Sprint("z", n%s.zones), views: &route.Views{}}
	for range s.instances {
		h.loads = append(h.loads, &route.Load{})
	}
	random := rand.NewPCG(uint64(n), 7)
	var mu sync.Mutex
	next := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Uint64()
	}
	h.router = route.NewRouter(h.views, route.NewAdaptive(route.WithFill(0.8)), route.WithHost(h.name), route.WithoutTrace(),
		route.WithTerms(func(string) *contract.Service { return s.terms }), route.WithRandom(next),
		route.WithClock(func() int64 { return time.Now().UnixNano() }),
		route.WithProbe(s.probe),
		route.WithGrants(func(_ context.Context, wanted int, members []route.Member) (route.Grants, error) {
			return s.grant(h, wanted, members)
		}))
	s.publish(h)
	ctx, cancel := context.WithCancel(s.ctx)
	h.ctx, h.stop = ctx, cancel
	go h.router.RunGrants(ctx)
	go h.router.RunWaiting(ctx)
	return h
}

// probe is a probe of an instance, which reports its load, and for how long it stays cold.
func (s *site) probe(m route.Member) route.ProbeReport {
	time.Sleep(callDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.server(m.Instance().ID())
	report := route.ProbeReport{Answered: true, Healthy: true, HasLoad: true, Requests: i.load(), Slowdown: 1}
	if s.probesState {
		report.Warmup = route.NewWarmup(time.Until(i.coldUntil))
	}
	return report
}

func (s *site) server(id instance.ID) *server {
	return s.instances[slices.IndexFunc(s.instances, func(i *server) bool { return i.id == id })]
}

// load returns the requests that run or wait at the instance.
func (i *server) load() int {
	i.ends = slices.DeleteFunc(i.ends, func(end time.Time) bool { return !time.Now().Before(end) })
	return len(i.ends)
}

// restart replaces a host by one that knows nothing but the records. What waits at the
// former one ends with it.
func (s *site) restart(n int) {
	s.mu.Lock()
	old := s.hosts[n]
	s.mu.Unlock()
	old.stop()
	next := s.newHost(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[n] = next
}

func (s *site) publish(h *host) {
	members := make([]route.Member, 0, len(s.instances))
	for n, i := range s.instances {
		members = append(members, route.NewMember(i.record, h.loads[n]))
	}
	h.views.Store(map[string]*route.View{shop: route.NewView(shop, members)})
}

// grant is a call of an entry host to the leader.
func (s *site) grant(h *host, wanted int, members []route.Member) (route.Grants, error) {
	failed := route.Grants{Pause: 200 * time.Millisecond}
	s.mu.Lock()
	s.calls++
	cut := h.cut
	s.mu.Unlock()
	if cut {
		return failed, errCut
	}
	req := &wire.GrantRequest{Host: h.name, Wanted: uint32(wanted), Service: shop}
	now := time.Now().UnixNano()
	for _, m := range members {
		if m.ColdUntil(now) > now {
			req.Cold = append(req.Cold, string(m.Instance().ID()))
		}
	}
	time.Sleep(callDelay)
	for _, r := range s.replicas {
		response, err := r.Grant(s.ctx, req)
		if err != nil || !response.GetLeader() {
			continue
		}
		time.Sleep(callDelay)
		granted := route.Grants{Requests: map[instance.ID]int{}, Validity: time.Duration(response.GetValidNs()), Pause: time.Duration(response.GetPauseNs()), ColdOnly: response.GetColdOnly()}
		for _, g := range response.GetGrants() {
			granted.Requests[instance.ID(g.GetInstance())] = int(g.GetRequests())
		}
		return granted, nil
	}
	return failed, errCut
}

// lead makes a replica the leader after an election, and leaves the former one in the
// belief that it leads for some time.
func (s *site) lead(next int, belief time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader >= 0 && belief > 0 {
		old := s.replicas[s.leader]
		old.was = agreement.NewStatus(fmt.Sprint(s.leader), fmt.Sprint(s.leader), s.term, 0, true, nil).WithLeadsSince(s.since)
		old.stale = time.Now().Add(belief)
	}
	s.leader, s.term = -1, s.term+1
	time.AfterFunc(electionTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leader, s.since = next, time.Now()
	})
}
