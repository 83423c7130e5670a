package cold_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// tally is what became of the requests of a time.
type tally struct {
	sent, refused int
	perSecond     float64 // at each of the picked instances
	calls         float64 // for grants, a second
	waited        time.Duration
}

// tally runs the site for a time. The wait is that of nine in ten requests at most.
func (s *site) tally(d time.Duration, picked []*server) tally {
	s.mu.Lock()
	s.sent, s.refused, s.calls, s.waits = 0, 0, 0, nil
	from := time.Now()
	s.mu.Unlock()
	s.run(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, i := range picked {
		n += i.between(from, time.Now())
	}
	result := tally{sent: s.sent, refused: s.refused, perSecond: float64(n) / float64(len(picked)) / d.Seconds(), calls: float64(s.calls) / d.Seconds()}
	if len(s.waits) > 0 {
		slices.Sort(s.waits)
		result.waited = s.waits[len(s.waits)*9/10]
	}
	return result
}

// known is the time from a change until all hosts know of it.
const known = announceGap + newsDelay

// large is half of the larger deployment: one of its two services.
func large(rate float64, work time.Duration) shape {
	return shape{hosts: 203, zones: 3, instances: 190, rate: rate, work: work, coldRate: 1.6}
}

// Guards against requests that wait for grants to cold instances, or slow down there, though
// the other zones have room.
func TestRequestsPreferInstancesThatAreNotCold(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, large(172, 500*time.Millisecond))
		s.run(5 * time.Second)
		zone := s.zone("z0")
		s.chill(zone...)
		s.run(known)
		cold := s.tally(warmupTime-known, zone)
		t.Logf("while cold: %+v, most in a second %v", cold, s.mostCold())
		must.LessEq(t, s.bound(), s.mostCold())
		must.Zero(t, cold.refused)
		must.LessEq(t, 0.1, cold.perSecond)
		must.LessEq(t, 10*time.Millisecond, cold.waited)
		must.LessEq(t, 10, cold.calls)
	})
}

// Guards against cold instances that stay idle while those that are not cold have more than
// they can handle, as each host sees too little to know.
func TestColdInstancesHelpWhenTheOthersAreFull(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, large(800, 500*time.Millisecond)) // 254 slots of the other zones answer 508
		s.run(5 * time.Second)
		zone := s.zone("z0")
		s.chill(zone...)
		s.run(known)
		cold := s.tally(warmupTime-known, zone)
		t.Logf("while cold: %+v, most in a second %v", cold, s.mostCold())
		must.LessEq(t, s.bound(), s.mostCold())
		must.GreaterEq(t, 0.5*s.coldRate, cold.perSecond)
	})
}

// Guards against a service that is refused while all of its instances are cold, though they
// can take what it needs, and against a leader that is asked too often then.
func TestAllInstancesAreColdAfterAnOutage(t *testing.T) {
	t.Parallel()
	for name, shape := range map[string]shape{
		"203 hosts": large(172, 250*time.Millisecond),
		"55 hosts":  {hosts: 55, zones: 4, instances: 135, rate: 150, work: 250 * time.Millisecond, coldRate: 1.6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, shape)
				s.run(5 * time.Second)
				s.chill(s.instances...)
				s.run(known)
				cold := s.tally(warmupTime-known, s.instances)
				t.Logf("while cold: %+v, most in a second %v", cold, s.mostCold())
				must.LessEq(t, s.bound(), s.mostCold())
				must.LessEq(t, 0.05, float64(cold.refused)/float64(cold.sent))
				must.LessEq(t, 300*time.Millisecond, cold.waited)
				must.LessEq(t, 400, cold.calls)
			})
		})
	}
}

// Guards against cold instances that get less than they tolerate from a service that could
// use more.
func TestColdInstancesGetTheirRateWhenAllAreNeeded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, large(450, 250*time.Millisecond))
		s.run(5 * time.Second)
		s.chill(s.instances...)
		s.run(known)
		cold := s.tally(warmupTime-known, s.instances)
		t.Logf("while cold: %+v, most in a second %v", cold, s.mostCold())
		must.LessEq(t, s.bound(), s.mostCold())
		must.GreaterEq(t, 0.8*s.coldRate, cold.perSecond)
	})
}

// Guards against a zone that is given all requests at the moment at which its instances stop
// being cold, as all hosts see them idle, and against one that does not get its share back.
func TestShareOfAZoneReturnsSmoothly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, large(300, 500*time.Millisecond))
		zone := s.zone("z0")
		before := s.tally(5*time.Second, zone)
		s.chill(zone...)
		s.run(warmupTime)
		for n := range 8 {
			after := s.tally(500*time.Millisecond, zone)
			if n == 0 {
				must.LessEq(t, 0.75*before.perSecond, after.perSecond)
			}
			t.Logf("at %.2f requests a second before: %+v", before.perSecond, after)
			must.LessEq(t, 1.5*before.perSecond, after.perSecond)
			must.LessEq(t, 10*time.Millisecond, after.waited)
		}
		must.GreaterEq(t, 0.8*before.perSecond, s.tally(2*time.Second, zone).perSecond)
	})
}

// Guards against a service whose instances are all cold and get nothing for as long as a new
// leader waits for the grants of the former one to expire.
func TestNewLeaderServesAServiceWhoseInstancesAreAllCold(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, large(172, 250*time.Millisecond))
		s.run(5 * time.Second)
		s.chill(s.instances...)
		s.lead(1, 600*time.Millisecond)
		s.run(max(known, electionTime+callDelay))
		cold := s.tally(warmupTime-known, s.instances)
		t.Logf("while cold: %+v, most in a second %v", cold, s.mostCold())
		must.LessEq(t, s.bound(), s.mostCold())
		must.LessEq(t, 0.05, float64(cold.refused)/float64(cold.sent))
	})
}
