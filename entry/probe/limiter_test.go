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

// busyPeriod is the slot time that one probe used at the instance.
type busyPeriod struct{ from, to int64 }

// TestBudgetHoldsOverAnyWindowAndMembership runs hosts that do not communicate. They
// join, leave, restart and probe as often as their limiters allow; any window must
// stay within the budget.
func TestBudgetHoldsOverAnyWindowAndMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := probe.LimiterConfig{
			Budget: rapid.SampledFrom([]float64{0.001, 0.01, 0.05}).Draw(t, "budget"),
			Slots:  rapid.IntRange(1, 8).Draw(t, "slots"), Hosts: rapid.IntRange(1, 29).Draw(t, "hosts"),
			Window: time.Minute, MaxDuration: 20 * time.Millisecond,
		}
		hosts := make([]*probe.Limiter, cfg.Hosts)
		for n := range hosts {
			hosts[n] = probe.NewLimiter(cfg, 0)
		}
		window := int64(hosts[0].Window())
		var periods []busyPeriod
		now := int64(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += rapid.Int64Range(0, window/10).Draw(t, "pause")
			n := rapid.IntRange(0, cfg.Hosts-1).Draw(t, "host")
			if rapid.IntRange(0, 19).Draw(t, "fate") == 0 {
				hosts[n] = probe.NewLimiter(cfg, now) // a restart, or a replacement host
				continue
			}
			for r := hosts[n].Reserve(now); r != nil; r = hosts[n].Reserve(now) {
				elapsed := time.Duration(rapid.Int64Range(1, int64(cfg.MaxDuration)).Draw(t, "took"))
				r.Settle(elapsed)
				periods = append(periods, busyPeriod{now, now + int64(elapsed)})
			}
		}
		must.LessEq(t, int64(cfg.Budget*float64(cfg.Slots)*float64(window))+1, maxBusy(periods, window))
	})
}

// maxBusy returns the maximum slot time in any interval of the given length.
func maxBusy(periods []busyPeriod, length int64) int64 {
	sort.Slice(periods, func(i, j int) bool { return periods[i].from < periods[j].from })
	most := int64(0)
	for i := range periods {
		sum := int64(0)
		for _, s := range periods[i:] {
			if s.from >= periods[i].from+length {
				break
			}
			sum += min(s.to, periods[i].from+length) - s.from
		}
		most = max(most, sum)
	}
	return most
}

func TestProbesAreMadeOnceTheWindowHasPassed(t *testing.T) {
	cfg := probe.LimiterConfig{Budget: 0.01, Slots: 3, Hosts: 29, Window: time.Minute, MaxDuration: 6 * time.Millisecond}
	l := probe.NewLimiter(cfg, 0)
	must.Nil(t, l.Reserve(int64(time.Minute)-1))
	made := 0
	for now := int64(time.Minute); now < int64(2*time.Minute); now += int64(time.Millisecond) {
		if l.Reserve(now) != nil {
			made++
		}
	}
	must.Eq(t, 10, made)
}
