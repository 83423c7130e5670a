package quota_test

import (
	"os"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/contract"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

const window = 5 * time.Second

func organisation(name string, rate float64, burst int) *contract.Organisation {
	return contract.NewOrganisation(name, contract.WithOrganisationRate(rate), contract.WithOrganisationBurst(burst))
}

// bound is the most requests that may run in a window.
func bound(o *contract.Organisation) float64 {
	return (o.Rate()*window.Seconds()+float64(o.Burst()))*1.1 + 20
}

// requireBound requires the bound in every window that begins in the given time.
func requireBound(t *rapid.T, all []ended, most float64, from, to time.Duration) {
	var times []time.Duration
	for _, e := range all {
		if e.ran {
			times = append(times, e.at)
		}
	}
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	end := 0
	for begin, at := range times {
		for end < len(times) && times[end] < at+window {
			end++
		}
		if at >= from && at < to && float64(end-begin) > most {
			t.Fatalf("%d requests ran in the 5 s from %v, at most %v may", end-begin, at, most)
		}
	}
}

func drawFaults(t *rapid.T) faults {
	millis := func(name string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, name)) * time.Millisecond
	}
	return faults{
		lostCalls:   rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "lost"),
		slowCalls:   rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "slow"),
		changeEvery: millis("change every", 0, 4000, 9000), gap: millis("gap", 1, 2000, 6000),
		cutEvery: millis("cut every", 0, 300, 2000), restartEvery: millis("restart every", 0, 300, 2000),
		slowLinks: millis("slow links", 0, 50, 400),
	}
}

// drawLoad returns a load that is steady, that rises slowly so that reserves grow with it, or
// that comes at once after a time in which reserves are filled and little is sent.
func drawLoad(t *rapid.T, o *contract.Organisation) func(now time.Duration) float64 {
	factor := rapid.SampledFrom([]float64{0.5, 1, 4}).Draw(t, "factor")
	most := factor*(o.Rate()+float64(o.Burst())/window.Seconds()) + 2
	period := time.Duration(rapid.SampledFrom([]int{4000, 8000}).Draw(t, "period")) * time.Millisecond
	switch rapid.SampledFrom([]string{"steady", "rising", "burst"}).Draw(t, "load") {
	case "rising":
		return func(now time.Duration) float64 { return most * (0.05 + float64(now%period)/float64(period)) }
	case "burst":
		return func(now time.Duration) float64 {
			if now%period > period*3/4 {
				return 4 * most
			}
			return most / 8
		}
	default:
		return func(time.Duration) float64 { return most }
	}
}

// Guards against hosts that together run more requests of an organisation than its limit,
// over changes of the leader, with suspended leaders, cut and restarted hosts, lost and
// delayed calls, and after a limit was lowered.
func TestRequestsOfAnOrganisationStayWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.05, 0.7, 3, 40, 126}).Draw(t, "rate")
		burst := rapid.SampledFrom([]int{0, 1, 30, 126}).Draw(t, "burst")
		first := organisation("nord", rate, burst)
		s := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 4, 20}).Draw(t, "hosts"), drawFaults(t), first)
		s.loadOf("nord", drawLoad(t, first))
		s.runFor(20 * time.Second)
		lowered := s.now
		second := organisation("nord", rate/3, burst/3)
		s.rules["nord"] = second
		s.runFor(15 * time.Second)
		requireBound(t, s.ended["nord"], bound(first), 0, s.now)
		requireBound(t, s.ended["nord"], bound(second), lowered+window, s.now)
	})
}

// Guards against an organisation that is refused below its limit: by another that is far
// above its own, by reserves at many hosts, by a rate below one request a second, and after
// the leader has changed.
func TestOrganisationBelowItsLimitIsNotRefusedWhileALeaderAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.05, 0.4, 1, 10, 126}).Draw(t, "rate")
		f := faults{changeEvery: rapid.SampledFrom([]time.Duration{0, 9 * time.Second}).Draw(t, "change every"), gap: 2 * time.Second}
		s := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 5, 60}).Draw(t, "hosts"), f,
			organisation("nord", rate, rapid.SampledFrom([]int{0, 2, 126}).Draw(t, "burst")), organisation("sud", 3, 3))
		s.load("nord", rate*rapid.SampledFrom([]float64{0.1, 0.5}).Draw(t, "load"), true)
		s.load("sud", 15, false)
		s.runFor(40 * time.Second)
		for _, e := range s.ended["nord"] {
			if !e.ran { // some have waited for a leader, and come first
				must.True(t, s.leaderless(e.arrived-400*time.Millisecond, e.at), must.Sprintf("request of %v refused as %v, changes %v", e.arrived, e.reason, s.gaps))
			}
		}
	})
}

// Guards against a request that waits for a round trip, or is refused, at a host that has
// served the organisation lately, also while the leader changes.
func TestOrganisationFarBelowItsLimitDoesNotWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{changeEvery: 9 * time.Second, gap: 1900 * time.Millisecond}
		s := newSimulation(rapid.Int64().Draw(t, "seed"), 20, f, organisation("nord", 126, 126))
		s.load("nord", rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "load"), true, 3)
		s.load("nord", 2.5, false, 0, 1, 2, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19)
		s.runFor(40 * time.Second)
		served := map[int]time.Duration{}
		for _, e := range s.ended["nord"] {
			if e.host == 3 && served[3] > 0 && e.arrived > 12*time.Second {
				must.False(t, e.waited, must.Sprintf("request of %v, changes %v", e.arrived, s.gaps))
				must.True(t, e.ran)
			}
			served[e.host] = e.arrived
		}
	})
}

// Guards against an organisation that sends several times its limit and runs much less than
// the limit, or waits for long, and against its calls that cost another one anything.
func TestOrganisationAboveItsLimitRunsAtIt(t *testing.T) {
	for _, rate := range []float64{0.4, 10, 126} {
		s := newSimulation(1, 40, faults{}, organisation("nord", rate, 0), organisation("sud", 40, 40))
		s.load("nord", 5*rate, false)
		s.load("sud", 15, false)
		const warmUp, length = 20 * time.Second, 40 * time.Second
		s.runFor(warmUp + length)
		ran := 0
		for _, e := range s.ended["nord"] {
			if e.ran && e.at >= warmUp {
				ran++
			}
			must.LessEq(t, 400*time.Millisecond, e.at-e.arrived)
		}
		must.Between(t, int(0.85*rate*length.Seconds()), ran, int(1.05*rate*length.Seconds())+1)
		for _, e := range s.ended["sud"] {
			must.True(t, e.ran, must.Sprintf("request of %v", e.arrived))
		}
	}
}

// Guards against a restarted host, or one whose time of day was set back meanwhile, whose calls
// the leader takes for those that its former process sent earlier.
func TestRestartedHostIsGrantedAtOnce(t *testing.T) {
	nord := organisation("nord", 126, 126)
	s := newSimulation(1, 1, faults{}, nord)
	for range 20 {
		s.hosts[0].arrive("nord")
		s.runFor(time.Second)
	}
	s.hosts[0].start()
	s.hosts[0].arrive("nord")
	s.runFor(time.Second)
	must.Len(t, 21, s.ended["nord"])
	last := s.ended["nord"][20]
	must.True(t, last.ran)
	must.LessEq(t, 10*time.Millisecond, last.at-last.arrived)
}
