package poison_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/poison"
	"github.com/snipebeam/snipebeam/world/testseed"
	"github.com/snipebeam/snipebeam/world/wire"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }

// A request that goes on ending instances was sent again at each host that was told of the
// third loss.
func TestRefusalOutlivesFurtherLossesToldByAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := poison.NewTracker()
		teller := poison.NewTracker(poison.WithBroadcast(func(_ context.Context, suspects []*wire.Suspect) {
			told.Merge(suspects, time.Now())
		}))
		for n, instance := range []string{"a", "b", "c", "d", "e", "f"} {
			lose(teller, 1, instance)
			must.Eq(t, n >= 1, refused(told, 1))
			time.Sleep(5 * time.Second)
		}
	})
}

func TestHostThatStartsRefusesWhatOthersRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		teller := poison.NewTracker()
		for _, fp := range []poison.Fingerprint{1, 2} {
			for _, instance := range []string{"a", "b"} {
				lose(teller, fp, instance+string(rune('0'+fp)))
				time.Sleep(5 * time.Second)
			}
		}
		started := poison.NewTracker()
		started.Merge(teller.Suspects(), time.Now())
		must.True(t, refused(started, 1))
		must.True(t, refused(started, 2))
	})
}

// Each loss is observed by one host. Hosts tell each other all that they know at any time;
// messages are delayed, repeated and overtake each other. In the end all hosts refuse what a host
// refuses that observed everything.
func TestHostsThatKnowTheSameLossesRefuseTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const fps = 4
		start := time.Unix(1000, 0)
		hosts := make([]*poison.Tracker, rapid.IntRange(2, 6).Draw(t, "hosts"))
		for n := range hosts {
			hosts[n] = poison.NewTracker()
		}
		all := poison.NewTracker()
		type told struct {
			to      int
			at      time.Time
			message *wire.Suspect
		}
		var pending []told
		now := start
		for n := range rapid.IntRange(1, 20).Draw(t, "losses") {
			// Far enough from the edges of the window that delays do not matter.
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 300, 5000}).Draw(t, "pause")) * time.Millisecond)
			fp := uint64(rapid.IntRange(1, fps).Draw(t, "fp"))
			observer := rapid.IntRange(0, len(hosts)-1).Draw(t, "observer")
			observed := &wire.Suspect{Fingerprint: fp, Losses: []*wire.Loss{{Instance: fmt.Sprint("i-", n)}}}
			hosts[observer].Merge([]*wire.Suspect{observed}, now)
			all.Merge([]*wire.Suspect{observed}, now)
			for to := range hosts {
				for range rapid.IntRange(0, 2).Draw(t, "copies") {
					for _, m := range hosts[observer].SuspectsAt(now) {
						pending = append(pending, told{to: to, at: now, message: m})
					}
				}
			}
		}
		for _, at := range rapid.Permutation(indexes(len(pending))).Draw(t, "order") {
			// A message that is late makes its losses look younger.
			m := pending[at]
			hosts[m.to].Merge([]*wire.Suspect{m.message}, m.at.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "delay"))*time.Millisecond))
		}
		for range 2 {
			for _, from := range hosts {
				for _, to := range hosts {
					to.Merge(from.SuspectsAt(now), now)
				}
			}
		}
		for fp := range poison.Fingerprint(fps + 1) {
			_, want := all.Refused(fp, now)
			for n, host := range hosts {
				_, got := host.Refused(fp, now)
				if got != want {
					t.Fatalf("host %d refuses request %d: %v, want %v", n, fp, got, want)
				}
			}
		}
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for k := range all {
		all[k] = k
	}
	return slices.Clip(all)
}

func TestLossesAmongManyOthersAreCountedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.NewTracker()
		sent := 0
		for n := range 100 { // another instance is lost every 0.2 s
			lose(tracker, poison.Fingerprint(1000+n), fmt.Sprint("other-", n))
			if n%4 == 0 && !refused(tracker, 1) {
				lose(tracker, 1, fmt.Sprint("own-", n))
				sent++
			}
			time.Sleep(200 * time.Millisecond)
		}
		must.True(t, refused(tracker, 1))
		must.LessEq(t, 3, sent)
	})
}

// A request that instances serve was refused, as only the host that got the responses knew
// of them.
func TestExcuseHoldsAtOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served, other := poison.NewTracker(), poison.NewTracker()
		lose(served, 1, "a")
		other.Merge(served.Suspects(), time.Now())
		ran := served.Begin(t.Context(), 1, "b")
		ran.Answered()
		ran.End()
		other.Merge(served.Suspects(), time.Now())
		time.Sleep(5 * time.Second)
		lose(other, 1, "c")
		must.False(t, refused(other, 1))
		served.Merge(other.Suspects(), time.Now())
		must.False(t, refused(served, 1))
	})
}

func TestSameInstanceCountsAgainAfterItsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.NewTracker()
		lose(tracker, 1, "a/1")
		time.Sleep(5 * time.Second)
		lose(tracker, 1, "a/2")
		must.True(t, refused(tracker, 1))
	})
}

// The evidence against a poison request gave way to that against harmless ones.
func TestManySuspectsDoNotEvictARefusedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.NewTracker()
		lose(tracker, 1, "a")
		time.Sleep(5 * time.Second)
		lose(tracker, 1, "b")
		for n := range 2000 {
			time.Sleep(10 * time.Millisecond)
			lose(tracker, poison.Fingerprint(10+n), fmt.Sprint("i-", n))
		}
		must.True(t, refused(tracker, 1))
		told := poison.NewTracker()
		told.Merge(tracker.Suspects(), time.Now())
		must.True(t, refused(told, 1))
	})
}
