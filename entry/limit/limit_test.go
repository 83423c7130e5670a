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

// Guards against retries that hosts save, or bring with each start, and that add up to
// more than the share of the requests.
func TestBudgetsTogetherBoundTheShareOfRetriesInAnyWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.05, 1).Draw(t, "share")
		budgets := make([]*limit.Budget, rapid.IntRange(1, 20).Draw(t, "hosts"))
		for n := range budgets {
			budgets[n] = &limit.Budget{}
		}
		var requests, retries []int64
		now := int64(0)
		for range 1500 {
			now += rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "pause")
			n := rapid.IntRange(0, len(budgets)-1).Draw(t, "host")
			switch rapid.IntRange(0, 99).Draw(t, "event") {
			case 0:
				budgets[n] = &limit.Budget{}
			case 1:
				now += rapid.Int64Range(0, int64(2*window)).Draw(t, "calm")
			default:
				if rapid.Bool().Draw(t, "first") {
					budgets[n].Earn(share, window, now)
					requests = append(requests, now)
				} else if budgets[n].Spend(window, now) {
					retries = append(retries, now)
				}
			}
		}
		for at, from := range retries {
			counted := max(between(requests, from, window), between(requests, from-int64(window), window))
			must.LessEq(t, share*float64(counted), float64(between(retries[at:], from, window)))
		}
	})
}

// between returns how many of the times are in the window from the given time.
func between(times []int64, from int64, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at <= from+int64(window) {
			n++
		}
	}
	return n
}

func TestWhatWasEarnedLatelyIsLeftToRetries(t *testing.T) {
	const window = 10 * time.Second
	var b limit.Budget
	for range 100 {
		b.Earn(0.2, window, 0)
	}
	must.False(t, b.SpendSaved(window, int64(3*time.Second)))
	must.True(t, b.SpendSaved(window, int64(4*time.Second)))
	must.True(t, b.Spend(window, int64(4*time.Second)))
}

func TestSavedRetriesOfAWindowCanBeSpentAtOnceAndExpire(t *testing.T) {
	const window = 10 * time.Second
	spent := func(after time.Duration) int {
		var b limit.Budget
		for n := range 100 {
			b.Earn(0.2, window, int64(n)*int64(50*time.Millisecond))
		}
		retries := 0
		for b.Spend(window, int64(5*time.Second+after)) {
			retries++
		}
		return retries
	}
	must.Eq(t, 9, spent(0)) // 100 x 0.2 / 2, rounded down
	must.Eq(t, 0, spent(window))
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
