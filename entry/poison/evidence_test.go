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

// Three instances that were lost within a second counted as one loss, whoever was there: the
// third loss lifted the refusal.
func TestBurstOfLossesUnderOneRequestRefusesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.NewTracker()
		for n := range 6 {
			lose(tracker, 1, fmt.Sprint("i-", n))
			must.Eq(t, n >= 1, refused(tracker, 1))
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// Requests beside the poison request are served elsewhere, which leaves it as the only cause.
func TestBurstOfLossesUnderManyRequestsRefusesTheOneThatIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.NewTracker()
		for n := range 3 {
			lose(tracker, 1, fmt.Sprint("i-", n), poison.Fingerprint(100+n))
			time.Sleep(100 * time.Millisecond)
		}
		for n := range 3 {
			fp := poison.Fingerprint(100 + n)
			ran := tracker.Begin(t.Context(), fp, "sound")
			ran.Answered()
			ran.End()
			must.False(t, refused(tracker, fp))
		}
		must.True(t, refused(tracker, 1))
	})
}

// A poison request and the loss of a rack in the same seconds: hosts observe the losses in
// turn, and the verdict on a request follows from who was at the instances.
func TestRackAndPoisonRequestAreToldApart(t *testing.T) {
	const poisoned, harmless = 1, 2
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		hosts := make([]*poison.Tracker, rapid.IntRange(1, 4).Draw(t, "hosts"))
		for n := range hosts {
			hosts[n] = poison.NewTracker()
		}
		var losses []*wire.Suspect
		lost := func(fp uint64, instance string, age int) {
			loss := &wire.Loss{Instance: instance, AgeMs: int64(age)}
			losses = append(losses, &wire.Suspect{Fingerprint: fp, Losses: []*wire.Loss{loss}})
		}
		for n := range rapid.IntRange(2, 6).Draw(t, "poisoned") {
			lost(poisoned, fmt.Sprint("sound-", n), rapid.IntRange(0, 1000).Draw(t, "age"))
		}
		// The harmless request was at two instances of the rack, as it was sent again.
		for n := range rapid.IntRange(5, 10).Draw(t, "rack") {
			instance, age := fmt.Sprint("rack-", n), 2500+rapid.IntRange(0, 400).Draw(t, "spread")
			lost(uint64(100+n), instance, age)
			if n < 2 {
				lost(harmless, instance, age)
			}
		}
		for _, n := range rapid.Permutation(indexes(len(losses))).Draw(t, "order") {
			hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "observer")].Merge([]*wire.Suspect{losses[n]}, now)
		}
		for range 2 {
			for _, from := range hosts {
				for _, to := range hosts {
					to.Merge(from.SuspectsAt(now), now)
				}
			}
		}
		for n, host := range hosts {
			if _, got := host.Refused(poisoned, now); !got {
				t.Fatalf("host %d does not refuse the poison request", n)
			}
			if _, got := host.Refused(harmless, now); got {
				t.Fatalf("host %d refuses the request that was in the rack", n)
			}
		}
	})
}

// A harmless request that was at two instances together with poison requests, sent by other hosts,
// was refused with them.
func TestRequestBesidePoisonRequestsIsNotRefused(t *testing.T) {
	const harmless = 9
	for name, poisoned := range map[string][2]poison.Fingerprint{"one": {1, 1}, "two": {1, 2}} {
		synctest.Test(t, func(t *testing.T) {
			tracker := poison.NewTracker()
			for n, fp := range poisoned {
				lose(tracker, fp, fmt.Sprint("together-", n), harmless)
				time.Sleep(5 * time.Second)
			}
			must.False(t, refused(tracker, harmless), must.Sprint(name))
			for n, fp := range poisoned {
				lose(tracker, fp, fmt.Sprint("alone-", n))
				time.Sleep(5 * time.Second)
			}
			must.False(t, refused(tracker, harmless), must.Sprint(name))
			must.True(t, refused(tracker, poisoned[0]), must.Sprint(name))
			must.True(t, refused(tracker, poisoned[1]), must.Sprint(name))
		})
	}
}

// Two requests that are only ever sent together are refused although neither was alone.
func TestPoisonRequestsThatAreNeverAloneAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := poison.NewTracker()
		for n := range 3 {
			lose(tracker, 1, fmt.Sprint("i-", n), 2)
			time.Sleep(5 * time.Second)
		}
		must.True(t, refused(tracker, 1))
		must.True(t, refused(tracker, 2))
	})
}

// A response of days ago looked like one of hours ago, and excused a request that instances have
// ended under since.
func TestResponseOfDaysAgoExcusesNoLoss(t *testing.T) {
	for _, days := range []int{1, 2, 3, 30, 300} {
		synctest.Test(t, func(t *testing.T) {
			tracker := poison.NewTracker()
			const fp = 0xfedcba9876543210
			ran := tracker.Begin(t.Context(), fp, "sound")
			ran.Answered()
			ran.End()
			time.Sleep(time.Duration(days) * 24 * time.Hour)
			lose(tracker, fp, "a")
			lose(tracker, fp, "b")
			must.True(t, refused(tracker, fp), must.Sprint(days, "days"))
		})
	}
}
