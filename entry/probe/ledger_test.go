package probe_test

import (
	"os"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/probe"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

// spell is slot time that one probe took at the instance.
type spell struct{ from, to int64 }

// TestBudgetHoldsOverAnyWindowAndMembership runs hosts that never hear of each
// other: they join, leave, restart and probe whenever they can.
func TestBudgetHoldsOverAnyWindowAndMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := probe.LimiterConfig{
			Budget: rapid.SampledFrom([]float64{0.001, 0.01, 0.05}).Draw(t, "budget"),
			Slots:  rapid.IntRange(1, 8).Draw(t, "slots"), Hosts: rapid.IntRange(1, 29).Draw(t, "hosts"),
			Window: time.Minute, MaxDuration: 20 * time.Millisecond,
		}
		hosts := make([]*probe.Limiter, plan.Hosts)
		for n := range hosts {
			hosts[n] = probe.NewLimiter(plan, 0)
		}
		window := int64(hosts[0].Window())
		var spells []spell
		now := int64(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += rapid.Int64Range(0, window/10).Draw(t, "pause")
			n := rapid.IntRange(0, plan.Hosts-1).Draw(t, "host")
			if rapid.IntRange(0, 19).Draw(t, "fate") == 0 {
				hosts[n] = probe.NewLimiter(plan, now) // a restart, or another host in its place
				continue
			}
			for r := hosts[n].Reserve(now); r != nil; r = hosts[n].Reserve(now) {
				took := time.Duration(rapid.Int64Range(1, int64(plan.MaxDuration)).Draw(t, "took"))
				r.Settle(took)
				spells = append(spells, spell{now, now + int64(took)})
			}
		}
		must.LessEq(t, int64(plan.Budget*float64(plan.Slots)*float64(window))+1, mostIn(spells, window))
	})
}

// mostIn returns the most slot time in any interval of the given length.
func mostIn(spells []spell, length int64) int64 {
	sort.Slice(spells, func(i, j int) bool { return spells[i].from < spells[j].from })
	most := int64(0)
	for i := range spells {
		sum := int64(0)
		for _, s := range spells[i:] {
			if s.from >= spells[i].from+length {
				break
			}
			sum += min(s.to, spells[i].from+length) - s.from
		}
		most = max(most, sum)
	}
	return most
}

func TestProbesAreMadeOnceTheWindowHasPassed(t *testing.T) {
	plan := probe.LimiterConfig{Budget: 0.01, Slots: 3, Hosts: 29, Window: time.Minute, MaxDuration: 6 * time.Millisecond}
	l := probe.NewLimiter(plan, 0)
	must.Nil(t, l.Reserve(int64(time.Minute)-1))
	made := 0
	for now := int64(time.Minute); now < int64(2*time.Minute); now += int64(time.Millisecond) {
		if l.Reserve(now) != nil {
			made++
		}
	}
	must.Eq(t, 10, made)
}
