package route_test

import (
	"container/heap"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/world/instance"
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

// rateLimitedFleet is several entry hosts over the same instances, some of which
// announce a rate limit.
type rateLimitedFleet struct {
	now      int64
	timers   timers
	hosts    []*fixture
	limits   []route.RateLimit // by instance
	arrivals [][]int64         // by instance
	rejected int
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
		at, err := strconv.Atoi(string(ticket.Instance().ID()[len(service)+1:]))
		if err != nil {
			panic(err)
		}
		f.arrivals[at] = append(f.arrivals[at], f.now)
		f.after(100*time.Millisecond, func() {
			ticket.Finish(route.Report{Latency: 100 * time.Millisecond, Answered: true, RateLimit: f.limits[at]})
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

func newRateLimitedFleet(hosts, instances, limited int, limit float64, opts ...route.Option) *rateLimitedFleet {
	f := &rateLimitedFleet{now: int64(time.Hour), limits: make([]route.RateLimit, instances), arrivals: make([][]int64, instances)}
	for range hosts {
		f.hosts = append(f.hosts, newFixture(instances, route.NewAdaptive(route.WithFill(0.8)), opts...))
	}
	f.after(0, func() {
		for at := range limited {
			f.limits[at] = route.NewRateLimit(limit)
		}
	})
	return f
}

// load sends requests to a host at a constant rate.
func (f *rateLimitedFleet) load(host *fixture, perSecond float64) {
	gap := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		f.send(host)
		f.after(gap, next)
	}
	f.after(gap, next)
}

// Guards against an instance that gets from all entry hosts together more than the
// rate limit it announced, because each host sends what its own load estimates allow.
func TestInstanceGetsNoMoreThanTheRateLimitItAnnounced(t *testing.T) {
	const limit, limited = 1.0, 6
	f := newRateLimitedFleet(8, 9, limited, limit)
	for n, host := range f.hosts {
		f.load(host, []float64{24, 3}[min(n, 1)])
	}
	start := f.now
	f.run(start + int64(30*time.Second))
	for at := range limited {
		id := instance.ID(service + "-" + strconv.Itoa(at))
		must.LessEq(t, 1.5*4*limit+5, float64(most(f.arrivals[at], start+int64(3*time.Second), 4*time.Second)), must.Sprint(id))
	}
}
