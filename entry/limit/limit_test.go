package limit_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/limit"
	"github.com/snipebeam/snipebeam/world/testseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

func TestRateIsBoundedOverAnyInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 20).Draw(t, "burst"))
		var r limit.Rate
		var taken []int64
		now := int64(time.Hour)
		for range 300 {
			now += rapid.Int64Range(0, int64(3e9/perSecond)).Draw(t, "pause")
			if r.Allow(now, perSecond, burst) {
				taken = append(taken, now)
			}
		}
		must.Positive(t, len(taken))
		for i := range taken {
			for j := i; j < len(taken); j++ {
				allowed := burst + perSecond*float64(taken[j]-taken[i])/1e9 + 1e-3
				must.LessEq(t, allowed, float64(j-i+1))
			}
		}
	})
}

func TestBudgetBoundsTheShareOfRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		var b limit.Budget
		first, retries := 0, 0
		for range 2000 {
			if rapid.Bool().Draw(t, "first") {
				b.Earn(share)
				first++
			} else if spent, _ := b.Spend(); spent {
				retries++
			}
		}
		must.LessEq(t, share*float64(first)+3, float64(retries))
	})
}

func TestCallersAreEvictedButNeverWhileInFlight(t *testing.T) {
	callers := limit.NewCallers[string](160)
	busy := callers.Get("busy", 0)
	must.True(t, busy.TryAcquire(1))
	must.False(t, busy.TryAcquire(1))
	for n := range 10_000 {
		callers.Get(strconv.Itoa(n), int64(n))
	}
	must.LessEq(t, 160, callers.Len())
	must.True(t, callers.Get("busy", 0) == busy)
	busy.Release()
	must.True(t, busy.TryAcquire(1))
}
