package route_test

import (
	"container/heap"
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
	"pgregory.net/rapid"
)

// timer is an event in virtual time.
type timer struct {
	at  int64
	run func()
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// grantor grants requests as the leader of the control hosts does: from a token bucket
// for each instance, for a second.
type grantor struct {
	fleet     *rateLimitedFleet
	tokens    []float64 // by instance
	filledAt  int64
	reachable bool
}

const grantValidity = 1500 * time.Millisecond

var errUnreachable = errors.New("no control host answers")

func (g *grantor) grant(_ context.Context, wanted int, members []route.Member) (route.Grants, error) {
	if !g.reachable {
		return route.Grants{Pause: 100 * time.Millisecond}, errUnreachable
	}
	elapsed := float64(g.fleet.now-g.filledAt) / 1e9
	g.filledAt = g.fleet.now
	for at, limit := range g.fleet.limits {
		g.tokens[at] = min(g.tokens[at]+elapsed*limit.PerSecond(), max(limit.PerSecond()/2, 1))
	}
	granted := route.Grants{Requests: map[instance.ID]int{}, Validity: grantValidity, Pause: 100 * time.Millisecond}
	for _, m := range members {
		if at := position(m.Instance()); wanted > 0 && g.tokens[at] >= 1 {
			g.tokens[at]--
			wanted--
			granted.Requests[m.Instance().ID()]++
		}
	}
	return granted, nil
}

func position(i *instance.Instance) int {
	at, err := strconv.Atoi(string(i.ID()[len(service)+1:]))
	if err != nil {
		panic(err)
	}
	return at
}

// rateLimitedFleet is several entry hosts over the same instances, some of which
// announce a rate limit.
type rateLimitedFleet struct {
	now      int64
	timers   timers
	hosts    []*fixture
	limits   []route.RateLimit // by instance
	arrivals [][]int64         // by instance
	rejected int
	grantor  *grantor
}

func (f *rateLimitedFleet) after(d time.Duration, run func()) {
	heap.Push(&f.timers, timer{at: f.now + int64(d), run: run})
}

func (f *rateLimitedFleet) run(until int64) {
	for len(f.timers) > 0 && f.timers[0].at <= until {
		next := heap.Pop(&f.timers).(timer)
		f.now = next.at
		for _, host := range f.hosts {
			host.now = f.now
		}
		next.run()
	}
}

// send sends one request to a host; an instance takes 100 ms for it.
func (f *rateLimitedFleet) send(host *fixture) {
	serve := func(ticket *route.Ticket, err error) {
		if err != nil {
			f.rejected++
			return
		}
		at := position(ticket.Instance())
		f.arrivals[at] = append(f.arrivals[at], f.now)
		f.after(100*time.Millisecond, func() {
			ticket.Finish(route.Report{Latency: 100 * time.Millisecond, Answered: true, RateLimit: f.limits[at]})
			if f.limits[at].Limited() {
				f.announce(at)
			}
		})
	}
	ticket, waiter, err := host.router.Offer(query().WithDeadline(time.Unix(0, f.now+int64(2*time.Second))), serve)
	if waiter == nil {
		serve(ticket, err)
	}
}

// most returns the largest number of arrivals in any window from a time on.
func most(arrivals []int64, from int64, window time.Duration) int {
	best, first := 0, 0
	for last := range arrivals {
		if arrivals[last] < from {
			first = last + 1
			continue
		}
		for arrivals[last]-arrivals[first] >= int64(window) {
			first++
		}
		best = max(best, last-first+1)
	}
	return best
}

func newRateLimitedFleet(hosts, instances, limited int, limit float64) *rateLimitedFleet {
	f := &rateLimitedFleet{now: int64(time.Hour), limits: make([]route.RateLimit, instances), arrivals: make([][]int64, instances)}
	f.grantor = &grantor{fleet: f, tokens: make([]float64, instances), filledAt: f.now, reachable: true}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	f.after(0, func() {
		for at := range limited {
			f.limits[at] = route.NewRateLimit(limit)
		}
	})
	return f
}

// newsDelay is the time after which all hosts have heard of a limit from control hosts.
const newsDelay = time.Second

// announce tells all hosts of a limit that a response stated.
func (f *rateLimitedFleet) announce(at int) {
	limit, stated := f.limits[at], f.now
	f.after(newsDelay, func() {
		for _, host := range f.hosts {
			host.members[at].Load().RecordRateLimit(limit, stated)
		}
	})
}

// newHost returns a host that requests grants.
func (f *rateLimitedFleet) newHost() *fixture {
	host := newFixture(len(f.limits), route.NewAdaptive(route.WithFill(0.8)), route.WithGrants(f.grantor.grant))
	host.now = f.now
	f.every(50*time.Millisecond, func() { host.router.RequestGrants(context.Background()) })
	return host
}

func (f *rateLimitedFleet) every(gap time.Duration, run func()) {
	f.after(gap, func() {
		run()
		f.every(gap, run)
	})
}

// load sends requests at a constant rate to the host that n currently is.
func (f *rateLimitedFleet) load(n int, perSecond float64) {
	f.every(time.Duration(float64(time.Second)/perSecond), func() { f.send(f.hosts[n]) })
}

// checkLimits checks that instances with a rate limit got at most what the users' rule
// allows in each window of 4 s that begins 3 s after they announced it.
func (f *rateLimitedFleet) checkLimits(t must.T, start int64, limit float64) {
	for at := range f.limits {
		if f.limits[at].Limited() {
			must.LessEq(t, 1.5*4*limit+5, float64(most(f.arrivals[at], start+int64(3*time.Second), 4*time.Second)), must.Sprint(at))
		}
	}
}

// Guards against an instance that gets from all entry hosts together more than the
// rate limit it announced, because each host sends what its own load estimates allow.
func TestInstanceGetsNoMoreThanTheRateLimitItAnnounced(t *testing.T) {
	const limit, limited, seconds = 1.0, 6, 30
	f := newRateLimitedFleet(8, 9, limited, limit)
	for n := range f.hosts {
		f.load(n, []float64{24, 3}[min(n, 1)])
	}
	start := f.now
	f.run(start + seconds*int64(time.Second))
	f.checkLimits(t, start, limit)
	for at := range limited {
		must.GreaterEq(t, 0.75*limit*seconds, float64(len(f.arrivals[at])), must.Sprint("starved ", at))
	}
	must.Zero(t, f.rejected) // the instances without a limit have room for the rest
}

// Guards against a rate limit that is exceeded while control hosts cannot be reached, or
// by hosts that start again and know nothing of it.
func TestRateLimitHoldsThroughOutagesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 8).Draw(t, "limit")
		f := newRateLimitedFleet(rapid.IntRange(1, 6).Draw(t, "hosts"), 6, 4, limit)
		for n := range f.hosts {
			f.load(n, rapid.Float64Range(0.5, 30).Draw(t, "rate"))
		}
		start := f.now
		for second := 5; second < 25; second++ {
			at := time.Duration(second) * time.Second
			if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				f.after(at, func() { f.grantor.reachable = !f.grantor.reachable })
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				n := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
				f.after(at, func() {
					f.hosts[n] = f.newHost()
					for m, member := range f.hosts[n].members { // as control hosts tell it
						member.Load().RecordRateLimit(f.limits[m], f.now)
					}
				})
			}
		}
		f.run(start + int64(30*time.Second))
		f.checkLimits(t, start, limit)
	})
}

func TestRateLimitOfZeroIsRejectedAtOnce(t *testing.T) {
	f := newRateLimitedFleet(1, 1, 1, 0)
	f.run(f.now)
	f.hosts[0].members[0].Load().RecordRateLimit(route.NewRateLimit(0), f.now)
	f.send(f.hosts[0])
	must.One(t, f.rejected)
	f.now += int64(10 * time.Second)
	f.hosts[0].now = f.now
	f.send(f.hosts[0])
	must.One(t, f.rejected) // it waits for a grant
}

func TestLatestRateLimitApplies(t *testing.T) {
	load := &route.Load{}
	must.False(t, load.RecordRateLimit(route.RateLimit{}, 5))
	must.True(t, load.RecordRateLimit(route.NewRateLimit(2), 10))
	must.False(t, load.RecordRateLimit(route.NewRateLimit(3), 9))
	must.Eq(t, "2/s", load.RateLimit().String())
	must.True(t, load.RecordRateLimit(route.RateLimit{}, 11))
	must.False(t, load.RecordRateLimit(route.NewRateLimit(2), 10))
	must.False(t, load.RateLimit().Limited())
}

// Guards against a limit that is not heard for as long as the clock was set back.
func TestRateLimitInAResponseAppliesAfterTheClockWasSetBack(t *testing.T) {
	f := newFixture(1, route.NewAdaptive())
	respond := func(limit route.RateLimit) {
		ticket, err := f.offer(query())
		must.NoError(t, err)
		ticket.Finish(route.Report{Latency: time.Millisecond, Answered: true, RateLimit: limit})
	}
	load := f.members[0].Load()
	must.True(t, load.RecordRateLimit(route.NewRateLimit(3), f.now))
	must.True(t, load.RecordRateLimit(route.RateLimit{}, f.now))
	f.now -= int64(5 * time.Second)
	respond(route.NewRateLimit(2))
	must.Eq(t, "2/s", load.RateLimit().String())
}
