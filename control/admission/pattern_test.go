package admission_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/control/admission"
)

// Each test replays one load pattern: the usual load, then the pattern from
// patternFrom, measured between measureFrom and patternTo. Hosts have worked off by
// settledFrom what they queued before the first shares arrived.
const (
	organisations = 24
	modelSlots    = 160
	usualLoad     = 0.65 // of the slots
	patternFrom   = 60 * time.Second
	measureFrom   = 66 * time.Second
	settledFrom   = 72 * time.Second
	patternTo     = 100 * time.Second
)

func steady(time.Duration) int { return modelSlots }

func during(times float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= patternFrom && at < patternTo {
			return times
		}
		return 1
	}
}

func organisationName(n int) string { return fmt.Sprintf("o%02d", n) }

// usualKinds returns an urgent and a patient kind for each organisation. Few of the
// organisations are large, and every third has a lower rank.
func usualKinds() []kind {
	var kinds []kind
	total := 0.0
	for n := range organisations {
		size := 1 / float64(n+2)
		name, rank := organisationName(n), n%3/2
		kinds = append(kinds,
			kind{organisation: name, level: admission.Level{Organisation: rank}, rate: 2 * size, work: 220 * time.Millisecond, deadline: 1200 * time.Millisecond},
			kind{organisation: name, level: admission.Level{Organisation: rank, Route: 2}, rate: size, work: 880 * time.Millisecond, deadline: 5 * time.Second})
		total += 2*size*0.22 + size*0.88
	}
	for n := range kinds {
		kinds[n].rate *= usualLoad * modelSlots / total
	}
	return kinds
}

// Bounds of the movement of a share in the settled part of a pattern.
const (
	swing     = 0.1 // from which a change of direction counts
	maxSwings = 2
)

// steadyShares fails if the share of a level swings to and fro while the load is even.
func steadyShares(t *testing.T, m *model) {
	t.Helper()
	tracks := map[admission.Level][]float64{}
	from := len(m.shares) - int((patternTo-measureFrom)/stepInterval)
	for n, entries := range m.shares[from:] {
		for _, e := range entries {
			if e.Organisation != "" {
				continue
			}
			for len(tracks[e.Level]) < n {
				tracks[e.Level] = append(tracks[e.Level], 1)
			}
			tracks[e.Level] = append(tracks[e.Level], e.Share)
		}
	}
	for level, track := range tracks {
		t.Logf("%v: %.2f to %.2f, %d swings", level, slices.Min(track), slices.Max(track), swings(track))
		must.LessEq(t, maxSwings, swings(track), must.Sprint(level, track))
	}
}

// swings counts the changes of direction after which a track moves by at least a swing.
func swings(track []float64) int {
	n, direction, turn := 0, 0, track[0]
	for _, at := range track {
		switch {
		case direction >= 0 && at > turn, direction <= 0 && at < turn:
			if direction == 0 && math.Abs(at-turn) < swing {
				continue
			}
			if direction == 0 {
				direction = int(math.Copysign(1, at-turn))
			}
			turn = at
		case direction != 0 && math.Abs(at-turn) >= swing:
			n, direction, turn = n+1, -direction, at
		}
	}
	return n
}

// replay runs a pattern and fails if an organisation is served less than a quarter as often
// as all, a kind of request less often than a less urgent one, or if the shares oscillate.
// The levels are those without the hot organisation, whose surplus is less urgent than
// all others.
func replay(t *testing.T, kinds []kind, slots func(time.Duration) int, hot string, seed uint64) map[string]tally {
	t.Helper()
	m := newModel(kinds, slots, seed, true)
	counts := m.measure(measureFrom, patternTo, hot)
	whole := counts["all"].part()
	t.Logf("all %.3f", whole)
	for n := range organisations {
		name := organisationName(n)
		must.GreaterEq(t, whole/4, counts[name].part(), must.Sprint(name))
	}
	for _, order := range [][]string{{"0.0", "0.2", "1.0", "1.2"}, {"route 0", "route 2"}} {
		for n, kind := range order {
			t.Logf("%s: %.3f", kind, counts[kind].part())
			if n > 0 {
				must.GreaterEq(t, counts[kind].part()-0.05, counts[order[n-1]].part(), must.Sprint(kind))
			}
		}
	}
	steadyShares(t, m)
	return counts
}

// eachSeed runs a test with several draws of the arrivals.
func eachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { test(t, seed) })
	}
}

// Guards against refusals of what there is capacity for.
func TestUsualLoadIsAdmittedWhole(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newModel(usualKinds(), steady, seed, true)
		m.count = func(int, time.Duration, bool) {}
		m.run(patternTo)
		for _, entries := range m.shares {
			must.SliceEmpty(t, entries)
		}
	})
}

// burstOf returns the usual kinds, of which the chosen ones have a burst.
func burstOf(times float64, chosen func(kind) bool) []kind {
	kinds := usualKinds()
	for n := range kinds {
		if chosen(kinds[n]) {
			kinds[n].burst = during(times)
		}
	}
	return kinds
}

func all(kind) bool { return true }

func TestBurstOverAll(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		counts := replay(t, burstOf(2.4, all), steady, "", seed)
		must.GreaterEq(t, 0.95, counts["0.0"].part())
	})
}

// Guards against an organisation above its usual load that costs the others anything. The
// first shares arrive after seconds in which it does.
func TestHotOrganisation(t *testing.T) {
	for _, hot := range []string{organisationName(0), organisationName(5)} {
		for _, times := range []float64{4, 8} {
			t.Run(fmt.Sprintf("%s at %.0f times", hot, times), func(t *testing.T) {
				eachSeed(t, func(t *testing.T, seed uint64) {
					kinds := burstOf(times, func(k kind) bool { return k.organisation == hot })
					counts := replay(t, kinds, steady, hot, seed)
					alone := newModel(kinds, steady, seed, false).measure(measureFrom, patternTo, hot)
					t.Logf("others %.3f, settled %.3f, without the controller %.3f; hot %.3f",
						counts["others"].part(), counts["others, settled"].part(), alone["others"].part(), counts[hot].part())
					must.GreaterEq(t, 0.95, counts["others"].part())
					must.GreaterEq(t, 0.99, counts["others, settled"].part())
				})
			})
		}
	}
}

// Guards against less urgent requests that take the capacity of urgent ones.
func TestBurstOfALessUrgentKind(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		counts := replay(t, burstOf(5, func(k kind) bool { return k.level.Route == 2 }), steady, "", seed)
		must.GreaterEq(t, 0.97, counts["0.0"].part())
	})
}

func TestLostZone(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		kinds := burstOf(1, all)
		for n := range kinds {
			kinds[n].rate *= 1.3
		}
		counts := replay(t, kinds, func(at time.Duration) int {
			if at >= patternFrom && at < patternTo {
				return modelSlots * 2 / 3
			}
			return modelSlots
		}, "", seed)
		must.GreaterEq(t, 0.95, counts["0.0"].part())
	})
}

// Guards against shares that stay in force after a pattern.
func TestSharesEndWithTheContention(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newModel(burstOf(2.4, all), steady, seed, true)
		m.count = func(int, time.Duration, bool) {}
		m.run(patternTo)
		must.SliceNotEmpty(t, m.shares[len(m.shares)-1])
		m.run(patternTo + 20*time.Second)
		must.SliceEmpty(t, m.shares[len(m.shares)-1])
	})
}

// Guards against slots that are given away although the instances do not have them: hosts
// then refuse what was admitted, the less urgent requests first.
func TestFewerSlotsThanStated(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		m := newModel(burstOf(2.4, all), steady, seed, true)
		m.lost = 0.25
		m.measure(measureFrom, patternTo, "")
		steadyShares(t, m)
		refused, served := 0.0, 0.0
		for _, f := range m.figures[len(m.figures)-int(10*time.Second/stepInterval):] {
			for _, d := range f.Demand {
				refused += d.Refused
				served += d.Served
			}
		}
		must.LessEq(t, 0.1, refused/(refused+served))
	})
}

// Guards against a check of the shares that sees no oscillation.
func TestSwingsAreCounted(t *testing.T) {
	must.Eq(t, 0, swings([]float64{1, 0.9, 0.6, 0.5, 0.52, 0.49, 0.5}))
	must.Eq(t, 1, swings([]float64{1, 0.8, 0.3, 0.4, 0.5, 0.5}))
	must.Eq(t, 4, swings([]float64{0.5, 0.7, 0.5, 0.7, 0.5, 0.7}))
	must.Eq(t, 3, swings([]float64{0.5, 0.5, 0.7, 0.6, 0.5, 0.6, 0.7, 0.5}))
}

// Guards against limits and demand that outlast an interval without figures, as of a service
// whose instances were all lost, and that refuse requests of the usual load after it.
func TestLimitsDoNotOutlastAnIntervalWithoutFigures(t *testing.T) {
	c := admission.New()
	step := func(d time.Duration, times float64) (entries []admission.Entry) {
		for range d / stepInterval {
			entries = c.Step(stepInterval, []admission.Service{{Name: modelService, Slots: 20, Demand: []admission.Demand{
				{Organisation: "nord", Arrivals: 50 * times, Served: 50 * times, Slots: 5 * times},
				{Organisation: "sud", Arrivals: 50, Refused: 50 * (times - 1), Served: 50, Slots: 5},
			}}})
		}
		return entries
	}
	must.SliceEmpty(t, step(time.Minute, 1))
	must.SliceNotEmpty(t, step(40*time.Second, 8))
	must.SliceEmpty(t, c.Step(stepInterval, nil))
	must.SliceEmpty(t, step(stepInterval, 1))
	must.SliceEmpty(t, step(5*time.Second, 1))
}

// Guards against limits of the usual load for long after a burst during which half of the
// stated slots were not there.
func TestLimitsEndSoonAfterSlotsAreThereAgain(t *testing.T) {
	const usual, took, stated = 100.0, 0.1, 16.0 // requests a second, seconds, slots
	c, share := admission.New(), 1.0
	run := func(steps int, rate, slots float64) {
		for range steps {
			admitted := rate * share
			served := min(admitted, slots/took)
			entries := c.Step(stepInterval, []admission.Service{{Name: modelService, Slots: stated, Demand: []admission.Demand{
				{Organisation: "nord", Arrivals: rate, Served: served, Refused: admitted - served, Slots: served * took},
			}}})
			if share = 1; len(entries) > 0 {
				share = entries[0].Share
			}
		}
	}
	run(240, usual, stated)
	must.Eq(t, 1, share)
	run(80, 2.4*usual, stated/2)
	must.Less(t, 0.4, share)
	run(18, usual, stated)
	must.Eq(t, 1, share)
}

// Guards against requests that are refused at a load that the slots serve because others wait
// at the hosts, as those do whose bodies arrive slowly.
func TestWaitingRequestsDoNotBeginALimit(t *testing.T) {
	c := admission.New()
	for range 240 {
		must.SliceEmpty(t, c.Step(stepInterval, []admission.Service{{Name: modelService, Slots: 20, Queued: 1000, Demand: []admission.Demand{
			{Organisation: "nord", Arrivals: 170, Served: 170, Slots: 17},
		}}}))
	}
}
